// The options of a stand-in upstream.
#pragma once

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::standin
{

// A call to another service that a route makes before its own effect.
struct downstream_call
{
    std::string service;
    std::string method;
    std::string path;
};

// How requests of one method and path prefix are served.
struct upstream_route
{
    std::string method;
    std::string path;
    double service_ms = 10;
    // Fraction of the mean service time that is exponentially distributed; the
    // rest is constant.
    double spread = 0.5;
    // Payload size of an answer.
    std::size_t answer_bytes = 512;
    // True if each execution is recorded as an effect.
    bool has_effect = false;
    std::vector<downstream_call> calls;
};

struct upstream_options
{
    std::string service;
    std::string name;
    // host:port on which the upstream listens.
    std::string address;
    // host:port of the node's local listener; empty: there is no node, and
    // downstream calls are skipped.
    std::string node_address;
    // Requests executed concurrently.
    std::size_t slots = 10;
    // Requests that may wait for a slot; further ones are refused.
    std::size_t backlog = 20;
    // Limit of concurrently open connections.
    std::size_t connections = 100;
    std::uint32_t cold_start_ms = 0;
    // Service time multiplier at the start; falls linearly to 1 during the cold
    // start.
    double cold_factor = 4;
    // Increase of the service time with a full backlog, as a fraction; in
    // proportion with a partly filled one. It models the memory, threads and
    // locks that waiting requests occupy.
    double contention = 0;
    std::uint64_t seed = 1;
    // File to which each effect is appended; empty: none.
    std::string effects_log;
    std::vector<upstream_route> routes;
};

// Parses routes from a JSON array: [{"method","path","service_ms",...}].
// Errors: invalid_input.
result<std::vector<upstream_route>> parse_routes(std::string_view text);

} // namespace plantaintally::standin
