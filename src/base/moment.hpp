// Time as the reducer sees it: always handed in, never read from a clock.
#pragma once

#include <chrono>
#include <compare>

namespace plantaintally
{

// Every span of time in the decisions, in microseconds.
using duration = std::chrono::microseconds;

// Tag of the node's monotonic clock. It has no now(): drivers read the clock.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

// Tag of the wall clock, which may jump; microseconds since the Unix epoch.
struct wall_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<wall_clock>;
    static constexpr bool is_steady = false;
};

// A reading of the monotonic clock of this process.
using instant = monotonic_clock::time_point;

// A reading of the wall clock.
using wall_time = wall_clock::time_point;

// Both clocks, read together just before an event is handed to the reducer.
struct moment
{
    instant monotonic{};
    wall_time wall{};

    auto operator<=>(moment const&) const = default;
};

// Hybrid logical clock reading: orders events of different processes. The wall
// part is in microseconds since the Unix epoch; the counter breaks ties.
struct hybrid_time
{
    std::int64_t wall_us = 0;
    std::uint32_t counter = 0;

    auto operator<=>(hybrid_time const&) const = default;
};

} // namespace plantaintally
