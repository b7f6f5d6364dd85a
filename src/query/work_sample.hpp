// Counts of requests over one span of time, as the queries see them.
#pragma once

#include "base/moment.hpp"

#include <cstdint>
#include <string>

namespace plantaintally::query
{

// Requests of one rank, service and caller at one node within a time bucket.
struct work_sample
{
    // Begin of the bucket by the node's monotonic clock.
    instant begin{};
    std::string rank;
    std::string service;
    std::string caller;
    std::uint64_t admitted = 0;
    std::uint64_t shed = 0;
    std::uint64_t queued = 0;
    std::uint64_t retried = 0;
    std::uint64_t refused = 0;

    bool operator==(work_sample const&) const = default;
};

} // namespace plantaintally::query
