// The traffic plan of a stand-in caller: request classes, phases and retries.
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

// A class of identical requests.
struct request_class
{
    std::string name;
    std::string service;
    std::string method = "GET";
    std::string path;
    std::size_t body_bytes = 0;
    // True if each request carries an Idempotency-Key.
    bool is_keyed = false;
    // Sent as Plantaintally-Deadline-Ms; 0 sends no deadline.
    std::uint32_t deadline_ms = 0;
    // The caller abandons a try after this time.
    std::uint32_t timeout_ms = 5000;
};

// A period with a constant request rate for each class, in requests a second.
// A class without a rate sends nothing.
struct traffic_phase
{
    std::string name;
    double seconds = 1;
    std::map<std::string, double> rates;
};

// How a caller retries a request that got no complete answer.
struct retry_plan
{
    // Number of retries after the first try.
    std::uint32_t limit = 0;
    std::uint32_t backoff_ms = 50;
    // True: retries reuse the key of the first try; false: each gets a new one.
    bool keeps_key = true;
    // True: each retry goes to the next entrance, in turn.
    bool changes_entrance = true;
};

struct caller_plan
{
    std::uint64_t seed = 1;
    // One-way network delay between the caller and the entrances.
    double latency_ms = 0;
    // host:port of each node (or upstream) that receives requests; the first
    // try of a request goes to a random one.
    std::vector<std::string> entrances;
    std::vector<request_class> classes;
    std::vector<traffic_phase> phases;
    retry_plan retry;
    // Requests that arrive while this many are in flight are not sent but
    // counted as suppressed.
    std::size_t in_flight_limit = 10'000;
};

// Parses a plan from JSON. Errors: invalid_input.
result<caller_plan> parse_caller_plan(std::string_view text);

} // namespace plantaintally::standin
