#include "timeline/hybrid_clock.hpp"

#include <algorithm>
#include <chrono>

namespace plantaintally::timeline
{

namespace
{

constexpr std::int64_t max_clock_lead_us = 60'000'000;

} // namespace

hybrid_time advance(hybrid_clock& clock, wall_time wall)
{
    return advance(clock, wall, hybrid_time{});
}

hybrid_time advance(hybrid_clock& clock, wall_time wall, hybrid_time remote)
{
    std::int64_t const wall_us = wall.time_since_epoch().count();
    bool const is_plausible = remote.wall_us <= wall_us + max_clock_lead_us;
    hybrid_time const latest =
        is_plausible ? std::max(clock.last, remote) : clock.last;
    if (wall_us > latest.wall_us)
    {
        clock.last = hybrid_time{wall_us, 0};
    }
    else
    {
        clock.last = hybrid_time{latest.wall_us, latest.counter + 1};
    }
    return clock.last;
}

} // namespace plantaintally::timeline
