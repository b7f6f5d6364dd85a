// The stand-in of an upstream: slots, backlog, service times, cold start,
// downstream calls, effects and faults.
#pragma once

#include "standin/effect_ledger.hpp"
#include "standin/internal/http_client.hpp"
#include "standin/internal/http_server.hpp"
#include "standin/internal/slot_queue.hpp"
#include "standin/internal/wait_list.hpp"
#include "standin/upstream_options.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace plantaintally::standin
{

// What the health endpoint tells.
enum class health_mode
{
    truth,
    always_healthy,
    always_sick
};

// Faults that can be switched while the upstream runs.
struct upstream_faults
{
    // Multiplies every service time.
    double slow_factor = 1;
    // Requests are read but not served until this ends.
    bool is_paused = false;
    // Every request is refused without running.
    bool sheds_all = false;
    health_mode health = health_mode::truth;
    // The health endpoint repeats its last answer for this long.
    std::uint32_t health_lag_ms = 0;
};

// Requests since the start, by how they ended.
struct upstream_counters
{
    std::uint64_t arrived = 0;
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;
    std::uint64_t deadline_missed = 0;
    std::uint64_t downstream_failed = 0;
    // Times that the node asked it to finish its work; it serves on.
    std::uint64_t drain_requests = 0;
    std::int64_t last_arrival_unix_ms = 0;
};

// Must outlive the io_context that runs its coroutines.
class upstream
{
public:
    explicit upstream(upstream_options upstream_settings);

    // Client for the downstream calls and the node; declared after the
    // io_context.
    void set_client(http_client& http)
    {
        this->client = &http;
    }

    void set_server(http_server& http)
    {
        this->server = &http;
    }

    // Serves one request of a node or of the control endpoints.
    boost::asio::awaitable<http_reply> handle(http_request request);

    // Announces the upstream to its node again and again until it drains.
    boost::asio::awaitable<void> announce();

    // Tells the node, and returns once everything in flight has ended.
    boost::asio::awaitable<void> drain();

    // What the control endpoint /standin/report tells, as JSON.
    std::string report_json() const;

private:
    using clock = std::chrono::steady_clock;

    boost::asio::awaitable<http_reply> serve(http_request request,
                                             upstream_route const& route);
    boost::asio::awaitable<http_reply> run(http_request const& request,
                                           upstream_route const& route,
                                           clock::time_point deadline);
    boost::asio::awaitable<http_reply>
    call_downstream(http_request const& request,
                    downstream_call const& call,
                    clock::time_point deadline,
                    bool is_first);
    boost::asio::awaitable<void> tell_node(std::string path, std::string body);
    upstream_route const* find_route(http_request const& request) const;
    std::chrono::microseconds draw_service_time(upstream_route const& route);
    std::string announcement() const;
    http_reply health();
    http_reply change_faults(std::string const& body);

    upstream_options options;
    upstream_faults faults;
    upstream_counters counters;
    slot_queue slots;
    effect_ledger ledger;
    std::mt19937_64 random;
    wait_list paused_requests;
    std::size_t in_flight = 0;
    bool is_draining = false;
    clock::time_point started_at;
    std::string last_health;
    clock::time_point last_health_at;
    http_client* client = nullptr;
    http_server* server = nullptr;
};

} // namespace plantaintally::standin
