// Pool of persistent connections to other processes, limited per address.
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

// A connection; carries one request at a time.
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
    // Hashes of the ids of requests that were answered with an error.
    std::vector<std::size_t> failed_requests;
};

// Why no connection could be obtained. Nothing was written in any of these
// cases.
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
        // Pool label in the metrics: "peer", "upstream", "platform".
        std::string_view name;
        // Maximum number of connections per address, unless warm() sets
        // another.
        std::uint32_t limit = 0;
        // Buffer size: the headers and the part of a body read together with
        // them.
        std::size_t buffer_bytes = 0;
        duration idle_timeout{};
        duration connect_timeout{};
    };

    connection_pool(task_scope& scope,
                    counters& shared_metrics,
                    options new_options);

    // Leases an idle connection that the other side does not appear to have
    // closed, or opens a new one. The connection stays leased until it is given
    // back or discarded. A request that was answered with an error does not get
    // the same connection again: a copy of that answer could arrive late and
    // would name the request. An empty id accepts any connection.
    asio::awaitable<std::variant<connection_id, connect_failure>>
    lease(std::string address,
          duration time_left,
          std::string_view request_id = {});
    pooled_connection& at(connection_id id);
    // Returns a connection to the pool. Its last response must have been read
    // completely and the connection must be reusable.
    void give_back(connection_id id);
    // Records that the request with this id was answered with an error on the
    // connection. Returns false if the connection can record no more and must
    // not be given back.
    bool note_failed_request(connection_id id, std::string_view request_id);
    void discard(connection_id id);
    // Discards the idle connections to the address that were last heard from
    // before `cutoff`, so that the next request opens a new one. For use after
    // a connection to the address has proved silent: what silences one on the
    // way usually silences all that were open at that time.
    void discard_idle(std::string const& address,
                      std::chrono::steady_clock::time_point cutoff);

    // Keeps at least `count` connections to the address open, ahead of use, and
    // sets their maximum number to `limit`.
    void
    warm(std::string const& address, std::uint32_t count, std::uint32_t limit);
    // Closes idle connections that have timed out or become unusable, and
    // replaces missing warm ones; call periodically.
    void sweep();
    void close_idle();
    [[nodiscard]] std::size_t connection_count() const;

private:
    struct address_group
    {
        std::uint32_t limit = 0;
        std::uint32_t warm_count = 0;
        // Open connections, including those being established.
        std::uint32_t open = 0;
        // Most recently used last.
        std::vector<connection_id> idle;
    };

    task_scope& tasks;
    counters& driver_metrics;
    options config;
    std::uint64_t last_id = 0;
    std::map<std::string, address_group, std::less<>> groups;
    std::unordered_map<connection_id, pooled_connection> connections;

    address_group& group_for(std::string const& address);
    std::optional<connection_id> take_idle(std::string const& address,
                                           std::string_view request_id);
    asio::awaitable<std::variant<connection_id, connect_failure>>
    open(std::string address, duration time_left);
    asio::awaitable<void> open_idle(std::string address);
    void discard_unusable(address_group& group);
    [[nodiscard]] metric_name metric(std::string_view name) const;
    void publish_connection_count();
};

} // namespace plantaintally::drivers
