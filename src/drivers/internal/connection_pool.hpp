// Kept-alive connections to other processes, by address, within limits.
#pragma once

#include "base/ids.hpp"
#include "drivers/internal/counters.hpp"
#include "drivers/internal/deadline_guard.hpp"
#include "drivers/internal/task_scope.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace plantaintally::drivers
{

using connection_id = numeric_id<struct connection_tag>;

// One connection; carries one request at a time.
struct pooled_connection
{
    pooled_connection(asio::any_io_executor const& executor,
                      std::string to,
                      std::size_t buffer_bytes)
        : address(std::move(to)), socket(executor), guard(this->socket),
          buffer(buffer_bytes)
    {
    }

    std::string address;
    tcp::socket socket;
    deadline_guard guard;
    boost::beast::flat_buffer buffer;
    std::chrono::steady_clock::time_point idle_since;
};

// Why no connection could be had; nothing was written.
enum class connect_failure
{
    refused,
    limit,
    timed_out
};

class connection_pool
{
public:
    struct options
    {
        // Label of the metrics: "peer", "upstream", "platform".
        std::string_view name;
        // Connections to one address, unless warm() has said otherwise.
        std::uint32_t limit = 0;
        // Room for headers and for the part of a body read with them.
        std::size_t buffer_bytes = 0;
        duration idle_timeout{};
        duration connect_timeout{};
    };

    connection_pool(task_scope& scope, counters& counting, options wanted);

    // A connection that the other side has not closed as far as can be seen:
    // an idle one or a new one. It is the caller's until given back or
    // discarded.
    asio::awaitable<std::variant<connection_id, connect_failure>>
    lease(std::string address, duration time_left);
    pooled_connection& at(connection_id id);
    // Its last answer was read whole and the connection stays usable.
    void give_back(connection_id id);
    void discard(connection_id id);

    // Keeps `count` idle connections to the address open before use, and at
    // most `limit` in all.
    void
    warm(std::string const& address, std::uint32_t count, std::uint32_t limit);
    // Closes idle connections that are no longer usable; call now and then.
    void sweep();
    void close_idle();
    [[nodiscard]] std::size_t connection_count() const;

private:
    struct host
    {
        std::uint32_t limit = 0;
        std::uint32_t warm_count = 0;
        // Open connections, those being opened included.
        std::uint32_t open = 0;
        // Most recently used last.
        std::vector<connection_id> idle;
    };

    task_scope& tasks;
    counters& figures;
    options chosen;
    std::uint64_t last_id = 0;
    std::map<std::string, host, std::less<>> hosts;
    std::unordered_map<connection_id, pooled_connection> connections;

    host& host_of(std::string const& address);
    std::optional<connection_id> take_idle(std::string const& address);
    asio::awaitable<std::variant<connection_id, connect_failure>>
    open(std::string address, duration time_left);
    asio::awaitable<void> open_idle(std::string address);
    void drop_unusable(host& among);
    [[nodiscard]] figure_name figure(std::string_view name) const;
    void note_count();
};

} // namespace plantaintally::drivers
