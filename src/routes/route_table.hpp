// The routes that operators configure. They select the service and the terms
// for a request.
#pragma once

#include "base/moment.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plantaintally::routes
{

// A service that a route sends requests to, and its weight among the route's
// targets.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(route_target const&) const = default;
};

// A route. It matches requests to the host whose path begins with the prefix.
struct route_rule
{
    std::string name;
    std::string host;
    // Starts and ends with a slash.
    std::string prefix;
    // True if a request may run more than once.
    bool is_repeatable = false;
    std::vector<route_target> targets;
    // Time after which a request without a final answer is given up.
    duration timeout = std::chrono::seconds(5);
    // Maximum number of upstreams that one request may be sent to, including
    // the first.
    std::uint32_t max_attempts = 1;
    // Target latency: an answer within this time earns its full value.
    duration aim = std::chrono::seconds(1);
    // Zero is the most urgent.
    std::uint32_t priority = 0;

    bool operator==(route_rule const&) const = default;
};

// Limits on the size of callers' requests and on the time that callers may
// take.
struct caller_limits
{
    std::uint32_t max_header_bytes = 0;
    std::uint64_t max_body_bytes = 0;
    duration header_timeout{};
    duration idle_timeout{};

    bool operator==(caller_limits const&) const = default;
};

// A service of the platform.
struct service_entry
{
    std::string name;
    // Path of the health endpoint of the service's upstreams; empty if they
    // have none.
    std::string health_path;

    bool operator==(service_entry const&) const = default;
};

// All routes of one version. Versions never decrease.
struct route_table
{
    std::uint64_t version = 0;
    std::vector<route_rule> rules;
    std::vector<service_entry> services;
    // A zero field selects the limit from the node's settings.
    caller_limits limits;

    bool operator==(route_table const&) const = default;
};

} // namespace plantaintally::routes
