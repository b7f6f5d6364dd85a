// The stand-in of the callers: open-loop arrivals and hard retries.
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

    // Client for every call; declared after the io_context.
    void set_client(http_client& http)
    {
        this->client = &http;
    }

    // Sends the traffic of all phases; returns once every request has ended.
    boost::asio::awaitable<void> run();

    // Serves /standin/faults and /standin/report.
    boost::asio::awaitable<http_reply> handle(http_request request);

    // No more requests from now on.
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

    boost::asio::awaitable<void> generate(std::size_t class_index);
    boost::asio::awaitable<void> send(std::size_t class_index,
                                      std::uint64_t number);
    boost::asio::awaitable<try_outcome>
    send_once(request_class const& kind,
              std::string entrance,
              std::span<std::string const> ids,
              std::string key);
    // Requests a second of a class at this time; negative after the end.
    double rate_at(std::string const& class_name, double elapsed_s) const;
    double elapsed_ms() const;
    std::string make_key(request_class const& kind);

    caller_plan plan;
    caller_report report;
    std::mt19937_64 random;
    clock::time_point began_at;
    std::uint64_t last_number = 0;
    std::size_t in_flight = 0;
    std::size_t open_generators = 0;
    double rate_factor = 1;
    bool is_stopped = false;
    http_client* client = nullptr;
};

} // namespace plantaintally::standin
