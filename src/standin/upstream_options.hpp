// What a stand-in upstream is told at its start.
#pragma once

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::standin
{

// A call that a route makes on another service before its own effect.
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
    // Share of the service time that is exponentially distributed; the rest
    // is constant.
    double spread = 0.5;
    std::size_t answer_bytes = 512;
    bool has_effect = false;
    std::vector<downstream_call> calls;
};

struct upstream_options
{
    std::string service;
    std::string name;
    // host:port that the upstream serves.
    std::string address;
    // host:port of the local listener of its node; empty: no node, and
    // downstream calls are left out.
    std::string node_address;
    std::size_t slots = 10;
    std::size_t backlog = 20;
    std::size_t connections = 100;
    std::uint32_t cold_start_ms = 0;
    // Slowness at the start, falling to 1 over the cold start.
    double cold_factor = 4;
    // Added slowness when the backlog is full; less in proportion to it. Work
    // that waits costs memory, threads and locks.
    double contention = 0;
    std::uint64_t seed = 1;
    std::string effects_log;
    std::vector<upstream_route> routes;
};

// Reads routes from JSON: [{"method","path","service_ms",...}]. Errors:
// invalid_input.
result<std::vector<upstream_route>> parse_routes(std::string_view text);

} // namespace plantaintally::standin
