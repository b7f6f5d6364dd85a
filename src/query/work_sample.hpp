// Request counts of a time bucket, the input of show_work queries.
#pragma once

#include "base/moment.hpp"

#include <cstdint>
#include <string>

namespace plantaintally::query
{

// Request counts of one rank, service and caller at one node within one time
// bucket.
struct work_sample
{
    // Start of the bucket on the node's monotonic clock.
    instant start{};
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
