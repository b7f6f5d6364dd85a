#include "drivers/internal/control_link.hpp"

#include "codec/control_codec.hpp"
#include "drivers/internal/dead_peer_detection.hpp"
#include "drivers/internal/deadline_guard.hpp"
#include "drivers/internal/listener.hpp"
#include "drivers/internal/peek.hpp"
#include "logging/logging.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <limits>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

using bytes = std::vector<std::uint8_t>;

// The header that both sides of a connection send first: the name of the
// protocol family and the number of the sender's protocol.
using greeting = std::array<std::uint8_t, 8>;
constexpr greeting push_greeting{0, 'S', 'P', 0, 0, 0x50, 0, 0};
constexpr greeting pull_greeting{0, 'S', 'P', 0, 0, 0x51, 0, 0};

// Messages that a link buffers while it is connecting.
constexpr std::size_t max_queued_messages = 32;
constexpr duration min_reconnect_delay = std::chrono::milliseconds(100);
constexpr duration max_reconnect_delay = std::chrono::seconds(2);
// Longest time for connecting, and for the exchange of the greetings.
constexpr duration connect_timeout = std::chrono::seconds(1);
constexpr std::size_t read_bytes = 4096;

// A link is replaced sooner than a connection that carries requests: a lost
// message costs less than the news that a silent link withholds.
constexpr dead_peer_limits link_limits{
    1, 1, 1, std::chrono::milliseconds(1000)};

bytes frame(bytes const& message)
{
    bytes framed(sizeof(std::uint64_t) + message.size());
    boost::endian::store_big_u64(framed.data(), message.size());
    std::ranges::copy(message, framed.begin() + sizeof(std::uint64_t));
    return framed;
}

// A connection to another node and the messages that wait for it.
struct outgoing_link
{
    outgoing_link(asio::any_io_executor const& executor,
                  tcp::endpoint peer,
                  std::list<std::string>::iterator position)
        : endpoint(std::move(peer)), socket(executor), guard(this->socket),
          replacement(executor), replacement_guard(this->replacement),
          retry_pause(executor), lru_position(position)
    {
    }

    tcp::endpoint endpoint;
    tcp::socket socket;
    deadline_guard guard;
    // A second connection, to which the link moves once it is established.
    tcp::socket replacement;
    deadline_guard replacement_guard;
    asio::steady_timer retry_pause;
    std::list<std::string>::iterator lru_position;
    std::deque<bytes> queue;
    duration reconnect_delay{};
    bool is_connected = false;
    bool is_sending = false;
    bool is_opening_replacement = false;
    bool is_replacement_ready = false;
    bool is_closed = false;
};

void disconnect(outgoing_link& link)
{
    error_code ignored;
    link.socket.close(ignored);
    link.is_connected = false;
}

// Connects and exchanges the greetings; returns whether the connection can be
// used.
asio::awaitable<bool> connect(tcp::socket& socket,
                              deadline_guard& guard,
                              tcp::endpoint const& endpoint)
{
    error_code ec;
    guard.arm(connect_timeout);
    co_await socket.async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
    {
        socket.set_option(tcp::no_delay(true), ec);
        enable_dead_peer_detection(socket, link_limits);
        co_await asio::async_write(
            socket,
            asio::buffer(push_greeting),
            asio::redirect_error(asio::use_awaitable, ec));
    }
    greeting received{};
    if (!ec)
    {
        co_await asio::async_read(
            socket,
            asio::buffer(received),
            asio::redirect_error(asio::use_awaitable, ec));
    }
    guard.disarm();
    co_return !ec && received == pull_greeting;
}

// Writes the first message of the queue; returns whether that succeeded.
asio::awaitable<bool> write_first(outgoing_link& link)
{
    // A write to a connection that the other side has closed would succeed.
    if (peek(link.socket) != peek_result::nothing)
    {
        co_return false;
    }
    error_code ec;
    auto const message = link.queue.front();
    co_await asio::async_write(link.socket,
                               asio::buffer(message),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
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
                   options const& new_options,
                   std::function<void(control_envelope)> on_envelope)
        : tasks(scope), driver_metrics(shared_metrics),
          max_links(new_options.max_links), on_message(std::move(on_envelope)),
          incoming(
              scope,
              shared_metrics,
              {"control",
               control_endpoint(settings::to_string(new_options.peer_address))
                   .value(),
               new_options.max_incoming_links},
              [this](tcp::socket accepted)
              { return this->receive(std::move(accepted)); },
              [](tcp::socket) -> asio::awaitable<void> { co_return; })
    {
    }

    result<void> open()
    {
        auto opened = this->incoming.open();
        if (opened)
        {
            this->incoming.start();
        }
        return opened;
    }

    void send(std::string const& peer_address, control_envelope const& envelope)
    {
        auto const link = this->find_or_open_link(peer_address);
        auto const kind = codec::control_kind(envelope.message);
        if (link == nullptr)
        {
            this->count("control_dropped_total", "link-failed");
            return;
        }
        if (link->queue.size() >= max_queued_messages)
        {
            this->count("control_dropped_total", "not-sent");
            return;
        }
        auto const message = codec::encode_control(envelope);
        link->queue.push_back(frame(message));
        this->count_message("sent", kind, message.size());
        if (!std::exchange(link->is_sending, true))
        {
            this->tasks.spawn(this->send_queued(link));
        }
    }

    void renew(std::string const& peer_address)
    {
        auto const found = this->links.find(peer_address);
        if (found == this->links.end())
        {
            return;
        }
        outgoing_link& link = *found->second;
        if (link.is_connected &&
            !std::exchange(link.is_opening_replacement, true))
        {
            this->tasks.spawn(this->open_replacement(found->second));
        }
    }

    void close()
    {
        if (std::exchange(this->is_closed, true))
        {
            return;
        }
        this->incoming.close();
        for (tcp::socket* const each : this->incoming_sockets)
        {
            error_code ignored;
            each->close(ignored);
        }
        for (auto& [address, link] : this->links)
        {
            close_link(*link);
        }
        this->links.clear();
        this->lru_addresses.clear();
    }

private:
    using link_ptr = std::shared_ptr<outgoing_link>;

    task_scope& tasks;
    counters& driver_metrics;
    std::size_t max_links;
    std::function<void(control_envelope)> on_message;
    listener incoming;
    std::set<tcp::socket*> incoming_sockets;
    bool is_closed = false;
    // Addresses of the links, most recently used first.
    std::list<std::string> lru_addresses;
    std::unordered_map<std::string, link_ptr> links;

    static void close_link(outgoing_link& link)
    {
        link.is_closed = true;
        link.queue.clear();
        link.retry_pause.cancel();
        disconnect(link);
        error_code ignored;
        link.replacement.close(ignored);
    }

    // Sends what is queued, connecting as often as needed.
    asio::awaitable<void> send_queued(link_ptr link)
    {
        auto const self = this->shared_from_this();
        while (!link->queue.empty())
        {
            if (std::exchange(link->is_replacement_ready, false))
            {
                link->socket = std::move(link->replacement);
                link->is_connected = true;
            }
            if (!link->is_connected)
            {
                link->is_connected =
                    co_await connect(link->socket, link->guard, link->endpoint);
            }
            if (link->is_connected && !link->is_closed &&
                co_await write_first(*link))
            {
                link->reconnect_delay = {};
                if (!link->queue.empty())
                {
                    link->queue.pop_front();
                }
                continue;
            }
            disconnect(*link);
            if (!link->is_closed && !link->is_replacement_ready)
            {
                co_await self->pause_before_reconnect(*link);
            }
        }
        link->is_sending = false;
    }

    // Opens a second connection and has the next message sent over it.
    asio::awaitable<void> open_replacement(link_ptr link)
    {
        auto const self = this->shared_from_this();
        bool const is_established = co_await connect(
            link->replacement, link->replacement_guard, link->endpoint);
        link->is_opening_replacement = false;
        // A link that has failed meanwhile connects again by itself.
        if (!is_established || !link->is_connected || link->is_closed)
        {
            error_code ignored;
            link->replacement.close(ignored);
            co_return;
        }
        self->driver_metrics.add({"control_links_replaced_total"});
        // A message whose write this interrupts is sent again.
        disconnect(*link);
        link->is_replacement_ready = true;
    }

    asio::awaitable<void> pause_before_reconnect(outgoing_link& link)
    {
        this->driver_metrics.add({"control_links_replaced_total"});
        auto const delay = link.reconnect_delay;
        link.reconnect_delay =
            std::clamp(delay * 2, min_reconnect_delay, max_reconnect_delay);
        if (delay > duration::zero())
        {
            error_code ignored;
            link.retry_pause.expires_after(delay);
            co_await link.retry_pause.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    // Receives messages until the connection ends. The next message is read
    // only after this one has been handled, so that a flood of messages stays
    // queued at the senders.
    asio::awaitable<void> receive(tcp::socket socket)
    {
        auto const self = this->shared_from_this();
        this->incoming_sockets.insert(&socket);
        enable_dead_peer_detection(socket, link_limits);
        error_code ec;
        co_await asio::async_write(
            socket,
            asio::buffer(pull_greeting),
            asio::redirect_error(asio::use_awaitable, ec));
        greeting received{};
        if (!ec)
        {
            co_await asio::async_read(
                socket,
                asio::buffer(received),
                asio::redirect_error(asio::use_awaitable, ec));
        }
        boost::beast::flat_buffer buffer;
        bool is_valid = received == push_greeting;
        while (!ec && is_valid && !this->is_closed)
        {
            auto const count = co_await socket.async_read_some(
                buffer.prepare(read_bytes),
                asio::redirect_error(asio::use_awaitable, ec));
            buffer.commit(count);
            is_valid = this->handle_frames(buffer);
        }
        this->incoming_sockets.erase(&socket);
    }

    // Handles and removes all complete messages; returns false if the sender
    // announces a message that is too large.
    bool handle_frames(boost::beast::flat_buffer& buffer)
    {
        constexpr std::size_t length_bytes = sizeof(std::uint64_t);
        while (buffer.size() >= length_bytes && !this->is_closed)
        {
            auto const* const begin =
                static_cast<std::uint8_t const*>(buffer.data().data());
            auto const length = boost::endian::load_big_u64(begin);
            if (length > codec::max_control_message_bytes)
            {
                this->count("control_malformed_total", "too-large");
                return false;
            }
            if (buffer.size() - length_bytes < length)
            {
                return true;
            }
            bytes const message(begin + length_bytes,
                                begin + length_bytes + length);
            buffer.consume(length_bytes + length);
            this->handle_message(message);
        }
        return true;
    }

    void handle_message(bytes const& message)
    {
        auto decoded = codec::decode_control(message);
        if (decoded)
        {
            auto const kind = codec::control_kind(decoded.value().message);
            this->count_message("received", kind, message.size());
            this->on_message(std::move(decoded.value()));
            return;
        }
        this->count("control_malformed_total", "undecodable");
        logging::write({logging::level::debug,
                        "drivers",
                        "control-malformed",
                        {{"cause", decoded.error().message}}});
    }

    // Returns the link to a node, creating it if necessary; null if the address
    // is invalid. At the limit the least recently used link is closed.
    link_ptr find_or_open_link(std::string const& peer_address)
    {
        auto const found = this->links.find(peer_address);
        if (found != this->links.end())
        {
            this->lru_addresses.splice(this->lru_addresses.begin(),
                                       this->lru_addresses,
                                       found->second->lru_position);
            return found->second;
        }
        auto const address = control_endpoint(peer_address);
        if (!address || this->is_closed)
        {
            return nullptr;
        }
        if (this->links.size() >= this->max_links)
        {
            this->close_least_recent_link();
        }
        tcp::endpoint const endpoint(
            asio::ip::make_address(address.value().host), address.value().port);
        this->lru_addresses.push_front(peer_address);
        auto link = std::make_shared<outgoing_link>(
            this->tasks.executor(), endpoint, this->lru_addresses.begin());
        this->links.emplace(peer_address, link);
        this->driver_metrics.set({"control_links"},
                                 static_cast<double>(this->links.size()));
        return link;
    }

    void close_least_recent_link()
    {
        auto const found = this->links.find(this->lru_addresses.back());
        close_link(*found->second);
        this->links.erase(found);
        this->lru_addresses.pop_back();
    }

    void count(std::string_view name, std::string_view reason)
    {
        this->driver_metrics.add({name, "reason", reason, {}, {}});
    }

    void count_message(std::string_view direction,
                       std::string_view kind,
                       std::size_t message_bytes)
    {
        this->driver_metrics.add(
            {"control_messages_total", "direction", direction, "kind", kind});
        this->driver_metrics.add(
            {"control_bytes_total", "direction", direction, "kind", kind},
            static_cast<double>(message_bytes));
    }
};

control_link::control_link(task_scope& scope,
                           counters& shared_metrics,
                           options const& new_options,
                           std::function<void(control_envelope)> on_message)
    : impl(std::make_shared<implementation>(
          scope, shared_metrics, new_options, std::move(on_message)))
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

void control_link::renew(std::string const& peer_address)
{
    this->impl->renew(peer_address);
}

void control_link::close()
{
    this->impl->close();
}

} // namespace plantaintally::drivers
