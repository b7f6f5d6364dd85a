// What a stand-in caller is to send: classes of requests, phases, retries.
#pragma once

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::standin
{

// Requests of one kind.
struct request_class
{
    std::string name;
    std::string service;
    std::string method = "GET";
    std::string path;
    std::size_t body_bytes = 0;
    // Each request carries an Idempotency-Key.
    bool is_keyed = false;
    std::uint32_t deadline_ms = 0;
    // The caller gives up a try after this time.
    std::uint32_t timeout_ms = 5000;
};

// Requests a second of each class, for a time.
struct traffic_phase
{
    std::string name;
    double seconds = 1;
    std::map<std::string, double> rates;
};

// How a caller repeats a request that got no whole answer.
struct retry_plan
{
    std::uint32_t limit = 0;
    std::uint32_t backoff_ms = 50;
    // False: every repeat has a key of its own.
    bool keeps_key = true;
    // True: every repeat goes to the next entrance.
    bool changes_entrance = true;
};

struct caller_plan
{
    std::uint64_t seed = 1;
    // Network delay between the caller and the entrances, one way.
    double latency_ms = 0;
    std::vector<std::string> entrances;
    std::vector<request_class> classes;
    std::vector<traffic_phase> phases;
    retry_plan retry;
    // Requests in flight above this number are not sent, but counted.
    std::size_t in_flight_limit = 10'000;
};

// Reads a plan from JSON. Errors: invalid_input.
result<caller_plan> parse_caller_plan(std::string_view text);

} // namespace plantaintally::standin
