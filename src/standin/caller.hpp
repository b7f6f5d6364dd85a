// The stand-in for the callers: generates open-loop traffic and retries
// requests that failed.
#pragma once

#include "standin/caller_plan.hpp"
#include "standin/caller_report.hpp"
#include "standin/internal/http_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>

namespace plantaintally::standin
{

// Must outlive the io_context that runs its coroutines.
class caller
{
public:
    explicit caller(caller_plan traffic_plan);

    // Sets the client for all calls. It must be declared after the io_context.
    void set_client(http_client& http)
    {
        this->client = &http;
    }

    // Sends the traffic of all phases; returns once every request has finished.
    boost::asio::awaitable<void> run();

    // Serves /standin/faults and /standin/report.
    boost::asio::awaitable<http_reply> handle(http_request request);

    // Stops sending new requests; those in flight finish, with their retries.
    void stop()
    {
        this->is_stopped = true;
    }

    std::string summary_json() const;

    std::string records_json_lines() const
    {
        return this->report.records_json_lines();
    }

private:
    using clock = std::chrono::steady_clock;

    // Sends the requests of one class, with exponential interarrival times.
    boost::asio::awaitable<void> generate(std::size_t class_index);
    // Sends one request with its retries and records the result.
    boost::asio::awaitable<void> send(std::size_t class_index,
                                      std::uint64_t request_number);
    // Sends one try of a request. `ids` holds the ids of all tries of the
    // request so far; the last one identifies this try.
    boost::asio::awaitable<try_outcome>
    send_once(request_class const& traffic_class,
              std::string entrance,
              std::span<std::string const> ids,
              std::string key);
    // Returns the request rate of a class, per second, this long after the
    // start of the run; negative after the last phase.
    double rate_at(std::string const& class_name, double elapsed_s) const;
    double elapsed_ms() const;
    std::string make_key(request_class const& traffic_class);

    caller_plan plan;
    caller_report report;
    std::mt19937_64 random;
    clock::time_point started_at;
    std::uint64_t last_request_number = 0;
    std::size_t in_flight = 0;
    std::size_t running_generators = 0;
    double rate_factor = 1;
    bool is_stopped = false;
    http_client* client = nullptr;
};

} // namespace plantaintally::standin
