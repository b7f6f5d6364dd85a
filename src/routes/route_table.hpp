// The operators' routes: which service a request goes to, and on what terms.
#pragma once

#include "base/moment.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plantaintally::routes
{

// A service that a route sends requests to, and its part of them.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(route_target const&) const = default;
};

// One route: the requests to a host whose path begins with the prefix.
struct route_rule
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // True if a request may run more than once.
    bool is_repeatable = false;
    std::vector<route_target> targets;
    // Longest time that a request is kept without a final answer.
    duration timeout = std::chrono::seconds(5);
    // Upstreams that one request may be sent to, the first one included.
    std::uint32_t max_attempts = 1;
    // Time within which an answer is worth most.
    duration aim = std::chrono::seconds(1);
    // Zero is the most urgent.
    std::uint32_t priority = 0;

    bool operator==(route_rule const&) const = default;
};

// What callers may send, and how long they may take.
struct caller_limits
{
    std::uint32_t max_header_bytes = 0;
    std::uint64_t max_body_bytes = 0;
    duration header_timeout{};
    duration idle_timeout{};

    bool operator==(caller_limits const&) const = default;
};

// All routes at a version. Versions only grow.
struct route_table
{
    std::uint64_t version = 0;
    std::vector<route_rule> rules;
    // Zero fields: the node's own settings hold.
    caller_limits limits;

    bool operator==(route_table const&) const = default;
};

} // namespace plantaintally::routes
