// The stand-in for an upstream. Simulates concurrency slots, a backlog, service
// times, a cold start, downstream calls and side effects, with fault injection.
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

// What the health endpoint reports.
enum class health_mode
{
    actual,
    always_healthy,
    always_unhealthy
};

// Faults that can be switched on and off while the upstream runs.
struct upstream_faults
{
    // Multiplies every service time.
    double slow_factor = 1;
    // Requests are read but not served while this is set.
    bool is_paused = false;
    // Every request is refused without being executed.
    bool sheds_all = false;
    health_mode health = health_mode::actual;
    // The health endpoint repeats a cached answer for this time.
    std::uint32_t health_lag_ms = 0;
};

// Requests since the start, by stage and result.
struct upstream_counters
{
    std::uint64_t arrived = 0;
    // Requests that got a slot before their deadline.
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    // Requests refused because the backlog was full or the shed fault was on.
    std::uint64_t shed = 0;
    std::uint64_t deadline_missed = 0;
    std::uint64_t downstream_failed = 0;
    // Drain calls received from the node; the upstream continues to serve.
    std::uint64_t drain_requests = 0;
    std::int64_t last_arrival_unix_ms = 0;
};

// Must outlive the io_context that runs its coroutines.
class upstream
{
public:
    explicit upstream(upstream_options upstream_settings);

    // Sets the client for downstream calls and for messages to the node. It
    // must be declared after the io_context.
    void set_client(http_client& http)
    {
        this->client = &http;
    }

    // Sets the server whose connection limit and counters the control endpoints
    // use.
    void set_server(http_server& http)
    {
        this->server = &http;
    }

    // Serves one request from a node or to a control endpoint.
    boost::asio::awaitable<http_reply> handle(http_request request);

    // Announces the upstream to its node periodically until it drains.
    boost::asio::awaitable<void> announce();

    // Tells the node that the upstream is draining, waits until no request has
    // arrived or been in flight for a while, then tells the node that the
    // upstream is gone.
    boost::asio::awaitable<void> drain();

    // Returns the report of the control endpoint /standin/report, as JSON.
    std::string report_json() const;

private:
    using clock = std::chrono::steady_clock;

    // Queues the request for a slot, then runs it.
    boost::asio::awaitable<http_reply> serve(http_request request,
                                             upstream_route const& route);
    // Simulates the execution: service time, downstream calls, then the effect.
    boost::asio::awaitable<http_reply> run(http_request const& request,
                                           upstream_route const& route,
                                           clock::time_point deadline);
    // Makes one downstream call through the node. If the first call is refused,
    // the request itself is refused as not run, since nothing has happened yet.
    boost::asio::awaitable<http_reply>
    call_downstream(http_request const& request,
                    downstream_call const& call,
                    clock::time_point deadline,
                    bool is_first_call);
    boost::asio::awaitable<void> post_to_node(std::string path,
                                              std::string body);
    upstream_route const* find_route(http_request const& request) const;
    std::chrono::microseconds draw_service_time(upstream_route const& route);
    std::string announcement_json() const;
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
