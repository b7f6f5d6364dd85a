#include "drivers/internal/control_link.hpp"

#include "codec/control_codec.hpp"
#include "logging/logging.hpp"

#include <boost/asio/post.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <limits>
#include <list>
#include <unordered_map>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

// Messages that a link keeps while its connection is being made.
constexpr int send_buffer_messages = 32;
constexpr nng_duration first_reconnect_ms = 100;
constexpr nng_duration longest_reconnect_ms = 2'000;

std::string url_of(settings::endpoint const& address)
{
    return "tcp://" + settings::to_string(address);
}

// An open PUSH socket with its dialer.
struct outgoing_link
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::list<std::string>::iterator use;
};

result<nng_socket> dial(settings::endpoint const& address)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    int problem = nng_push0_open(&socket);
    if (problem != 0)
    {
        return fail(errc::io_failure, nng_strerror(problem));
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, send_buffer_messages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, first_reconnect_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, longest_reconnect_ms);
    problem =
        nng_dial(socket, url_of(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (problem != 0)
    {
        nng_close(socket);
        return fail(errc::io_failure, nng_strerror(problem));
    }
    return socket;
}

} // namespace

result<settings::endpoint> control_endpoint(std::string const& peer_address)
{
    auto parsed = settings::parse_endpoint(peer_address);
    if (!parsed)
    {
        return parsed.error();
    }
    auto address = std::move(parsed.value());
    if (address.port == std::numeric_limits<std::uint16_t>::max())
    {
        return fail(errc::invalid_input, "no port is left for control");
    }
    ++address.port;
    return address;
}

class control_link::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(task_scope& scope,
                   counters& counting,
                   options wanted,
                   std::function<void(control_envelope)> receiver)
        : executor(scope.executor()), figures(counting),
          chosen(std::move(wanted)), receive(std::move(receiver))
    {
    }

    result<void> open()
    {
        int problem = nng_pull0_open(&this->listening);
        if (problem == 0)
        {
            nng_socket_set_size(this->listening,
                                NNG_OPT_RECVMAXSZ,
                                codec::max_control_message_bytes);
            problem = nng_aio_alloc(&this->receiving, handle_received, this);
        }
        auto const address =
            control_endpoint(settings::to_string(this->chosen.peer_address));
        if (problem == 0)
        {
            problem = nng_listen(
                this->listening, url_of(address.value()).c_str(), nullptr, 0);
        }
        if (problem != 0)
        {
            return fail(errc::io_failure,
                        "control listener at " +
                            settings::to_string(address.value()) + ": " +
                            nng_strerror(problem));
        }
        nng_recv_aio(this->listening, this->receiving);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void send(std::string const& peer_address, control_envelope const& envelope)
    {
        auto const* const link = this->link_to(peer_address);
        auto const kind = codec::control_kind(envelope.message);
        if (link == nullptr)
        {
            this->count("control_dropped_total", "link-failed");
            return;
        }
        auto bytes = codec::encode_control(envelope);
        int const problem = nng_send(
            link->socket, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
        if (problem != 0)
        {
            this->count("control_dropped_total", "not-sent");
            return;
        }
        this->count_message("sent", kind, bytes.size());
    }

    void close()
    {
        this->is_closed = true;
        if (nng_socket_id(this->listening) > 0)
        {
            nng_close(this->listening);
        }
        if (this->receiving != nullptr)
        {
            nng_aio_stop(this->receiving);
            nng_aio_free(this->receiving);
            this->receiving = nullptr;
        }
        for (auto& [address, link] : this->links)
        {
            nng_close(link.socket);
        }
        this->links.clear();
    }

private:
    asio::any_io_executor executor;
    counters& figures;
    options chosen;
    std::function<void(control_envelope)> receive;
    nng_socket listening = NNG_SOCKET_INITIALIZER;
    nng_aio* receiving = nullptr;
    bool is_closed = false;
    // Addresses of the links, the one used last in front.
    std::list<std::string> uses;
    std::unordered_map<std::string, outgoing_link> links;

    // Runs in a thread of nng. The next message is asked for only once this one
    // is dealt with, so that a flood waits in the senders.
    static void handle_received(void* self)
    {
        auto* const link = static_cast<implementation*>(self);
        if (nng_aio_result(link->receiving) != 0)
        {
            return;
        }
        nng_msg* const message = nng_aio_get_msg(link->receiving);
        auto const* const begin =
            static_cast<std::uint8_t const*>(nng_msg_body(message));
        std::vector<std::uint8_t> bytes(begin, begin + nng_msg_len(message));
        nng_msg_free(message);
        asio::post(link->executor,
                   [kept = link->weak_from_this(), bytes = std::move(bytes)]
                   {
                       if (auto const alive = kept.lock())
                       {
                           alive->take(bytes);
                       }
                   });
    }

    void take(std::vector<std::uint8_t> const& bytes)
    {
        if (this->is_closed)
        {
            return;
        }
        auto decoded = codec::decode_control(bytes);
        if (decoded)
        {
            auto const kind = codec::control_kind(decoded.value().message);
            this->count_message("received", kind, bytes.size());
            this->receive(std::move(decoded.value()));
        }
        else
        {
            this->count("control_malformed_total", "undecodable");
            logging::write({logging::level::debug,
                            "drivers",
                            "control-malformed",
                            {{"cause", decoded.error().message}}});
        }
        if (!this->is_closed)
        {
            nng_recv_aio(this->listening, this->receiving);
        }
    }

    // The link to a node, opened if need be; null if it can't be. The link that
    // was not used for the longest time makes room.
    outgoing_link const* link_to(std::string const& peer_address)
    {
        auto const found = this->links.find(peer_address);
        if (found != this->links.end())
        {
            auto& link = found->second;
            this->uses.splice(this->uses.begin(), this->uses, link.use);
            return &link;
        }
        auto const address = control_endpoint(peer_address);
        if (!address)
        {
            return nullptr;
        }
        auto const socket = dial(address.value());
        if (!socket)
        {
            return nullptr;
        }
        if (this->links.size() >= this->chosen.max_links)
        {
            this->drop_least_recent();
        }
        this->uses.push_front(peer_address);
        auto const [entry, is_new] = this->links.emplace(
            peer_address, outgoing_link{socket.value(), this->uses.begin()});
        this->figures.set({"control_links"},
                          static_cast<double>(this->links.size()));
        return &entry->second;
    }

    void drop_least_recent()
    {
        auto const found = this->links.find(this->uses.back());
        nng_close(found->second.socket);
        this->links.erase(found);
        this->uses.pop_back();
    }

    void count(std::string_view name, std::string_view reason)
    {
        this->figures.add({name, "reason", reason, {}, {}});
    }

    void count_message(std::string_view direction,
                       std::string_view kind,
                       std::size_t bytes)
    {
        this->figures.add(
            {"control_messages_total", "direction", direction, "kind", kind});
        this->figures.add(
            {"control_bytes_total", "direction", direction, "kind", kind},
            static_cast<double>(bytes));
    }
};

control_link::control_link(task_scope& scope,
                           counters& counting,
                           options wanted,
                           std::function<void(control_envelope)> receive)
    : inner(std::make_shared<implementation>(
          scope, counting, std::move(wanted), std::move(receive)))
{
}

control_link::~control_link()
{
    this->close();
}

result<void> control_link::open()
{
    return this->inner->open();
}

void control_link::send(std::string const& peer_address,
                        control_envelope const& envelope)
{
    this->inner->send(peer_address, envelope);
}

void control_link::close()
{
    this->inner->close();
}

} // namespace plantaintally::drivers
