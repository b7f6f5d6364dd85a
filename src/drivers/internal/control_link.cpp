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

// Messages that a link buffers while it is connecting.
constexpr int send_buffer_messages = 32;
constexpr nng_duration min_reconnect_ms = 100;
constexpr nng_duration max_reconnect_ms = 2'000;

std::string url_of(settings::endpoint const& address)
{
    return "tcp://" + settings::to_string(address);
}

// An open PUSH socket with its dialer, and its position in the LRU list.
struct outgoing_link
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    std::list<std::string>::iterator lru_position;
};

result<nng_socket> dial(settings::endpoint const& address)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    int nng_error = nng_push0_open(&socket);
    if (nng_error != 0)
    {
        return fail(errc::io_failure, nng_strerror(nng_error));
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, send_buffer_messages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, min_reconnect_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, max_reconnect_ms);
    nng_error =
        nng_dial(socket, url_of(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (nng_error != 0)
    {
        nng_close(socket);
        return fail(errc::io_failure, nng_strerror(nng_error));
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
        return fail(errc::invalid_input,
                    "port 65535 leaves no next port for control messages");
    }
    ++address.port;
    return address;
}

class control_link::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(task_scope& scope,
                   counters& shared_metrics,
                   options new_options,
                   std::function<void(control_envelope)> on_envelope)
        : executor(scope.executor()), driver_metrics(shared_metrics),
          config(std::move(new_options)), on_message(std::move(on_envelope))
    {
    }

    result<void> open()
    {
        int nng_error = nng_pull0_open(&this->pull_socket);
        if (nng_error == 0)
        {
            nng_socket_set_size(this->pull_socket,
                                NNG_OPT_RECVMAXSZ,
                                codec::max_control_message_bytes);
            nng_error =
                nng_aio_alloc(&this->receive_aio, handle_received, this);
        }
        auto const address =
            control_endpoint(settings::to_string(this->config.peer_address));
        if (nng_error == 0)
        {
            nng_error = nng_listen(
                this->pull_socket, url_of(address.value()).c_str(), nullptr, 0);
        }
        if (nng_error != 0)
        {
            return fail(errc::io_failure,
                        "control listener at " +
                            settings::to_string(address.value()) + ": " +
                            nng_strerror(nng_error));
        }
        nng_recv_aio(this->pull_socket, this->receive_aio);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void send(std::string const& peer_address, control_envelope const& envelope)
    {
        auto const* const link = this->find_or_open_link(peer_address);
        auto const kind = codec::control_kind(envelope.message);
        if (link == nullptr)
        {
            this->count("control_dropped_total", "link-failed");
            return;
        }
        auto bytes = codec::encode_control(envelope);
        int const nng_error = nng_send(
            link->socket, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
        if (nng_error != 0)
        {
            this->count("control_dropped_total", "not-sent");
            return;
        }
        this->count_message("sent", kind, bytes.size());
    }

    void close()
    {
        this->is_closed = true;
        if (nng_socket_id(this->pull_socket) > 0)
        {
            nng_close(this->pull_socket);
        }
        if (this->receive_aio != nullptr)
        {
            nng_aio_stop(this->receive_aio);
            nng_aio_free(this->receive_aio);
            this->receive_aio = nullptr;
        }
        for (auto& [address, link] : this->links)
        {
            nng_close(link.socket);
        }
        this->links.clear();
    }

private:
    asio::any_io_executor executor;
    counters& driver_metrics;
    options config;
    std::function<void(control_envelope)> on_message;
    nng_socket pull_socket = NNG_SOCKET_INITIALIZER;
    nng_aio* receive_aio = nullptr;
    bool is_closed = false;
    // Addresses of the links, most recently used first.
    std::list<std::string> lru_addresses;
    std::unordered_map<std::string, outgoing_link> links;

    // Runs in an nng thread. The next message is requested only after this one
    // has been handled, so that a flood of messages stays queued at the
    // senders.
    static void handle_received(void* self)
    {
        auto* const link = static_cast<implementation*>(self);
        if (nng_aio_result(link->receive_aio) != 0)
        {
            return;
        }
        nng_msg* const message = nng_aio_get_msg(link->receive_aio);
        auto const* const begin =
            static_cast<std::uint8_t const*>(nng_msg_body(message));
        std::vector<std::uint8_t> bytes(begin, begin + nng_msg_len(message));
        nng_msg_free(message);
        asio::post(link->executor,
                   [kept = link->weak_from_this(), bytes = std::move(bytes)]
                   {
                       if (auto const alive = kept.lock())
                       {
                           alive->handle_message(bytes);
                       }
                   });
    }

    void handle_message(std::vector<std::uint8_t> const& bytes)
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
            this->on_message(std::move(decoded.value()));
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
            nng_recv_aio(this->pull_socket, this->receive_aio);
        }
    }

    // Returns the link to a node, opening it if necessary; null if that fails.
    // At the limit the least recently used link is closed.
    outgoing_link const* find_or_open_link(std::string const& peer_address)
    {
        auto const found = this->links.find(peer_address);
        if (found != this->links.end())
        {
            auto& link = found->second;
            this->lru_addresses.splice(this->lru_addresses.begin(),
                                       this->lru_addresses,
                                       link.lru_position);
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
        if (this->links.size() >= this->config.max_links)
        {
            this->close_least_recent_link();
        }
        this->lru_addresses.push_front(peer_address);
        auto const [entry, is_new] = this->links.emplace(
            peer_address,
            outgoing_link{socket.value(), this->lru_addresses.begin()});
        this->driver_metrics.set({"control_links"},
                                 static_cast<double>(this->links.size()));
        return &entry->second;
    }

    void close_least_recent_link()
    {
        auto const found = this->links.find(this->lru_addresses.back());
        nng_close(found->second.socket);
        this->links.erase(found);
        this->lru_addresses.pop_back();
    }

    void count(std::string_view name, std::string_view reason)
    {
        this->driver_metrics.add({name, "reason", reason, {}, {}});
    }

    void count_message(std::string_view direction,
                       std::string_view kind,
                       std::size_t bytes)
    {
        this->driver_metrics.add(
            {"control_messages_total", "direction", direction, "kind", kind});
        this->driver_metrics.add(
            {"control_bytes_total", "direction", direction, "kind", kind},
            static_cast<double>(bytes));
    }
};

control_link::control_link(task_scope& scope,
                           counters& shared_metrics,
                           options new_options,
                           std::function<void(control_envelope)> on_message)
    : impl(std::make_shared<implementation>(
          scope, shared_metrics, std::move(new_options), std::move(on_message)))
{
}

control_link::~control_link()
{
    this->close();
}

result<void> control_link::open()
{
    return this->impl->open();
}

void control_link::send(std::string const& peer_address,
                        control_envelope const& envelope)
{
    this->impl->send(peer_address, envelope);
}

void control_link::close()
{
    this->impl->close();
}

} // namespace plantaintally::drivers
