// Time types of the reducer. The reducer is given the time and never reads a
// clock.
#pragma once

#include <chrono>
#include <compare>

namespace plantaintally
{

// A span of time, in microseconds.
using duration = std::chrono::microseconds;

// Clock type of the node's monotonic clock. It has no now(), because only
// drivers read the clock.
struct monotonic_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

// Clock type of the wall clock, in microseconds since the Unix epoch. The wall
// clock may jump.
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

// Readings of both clocks, taken just before an event is passed to the reducer.
struct moment
{
    instant monotonic{};
    wall_time wall{};

    auto operator<=>(moment const&) const = default;
};

// A timestamp of a hybrid logical clock, which orders events of different
// processes. `wall_us` is in microseconds since the Unix epoch; `counter`
// breaks ties.
struct hybrid_time
{
    std::int64_t wall_us = 0;
    std::uint32_t counter = 0;

    auto operator<=>(hybrid_time const&) const = default;
};

} // namespace plantaintally
