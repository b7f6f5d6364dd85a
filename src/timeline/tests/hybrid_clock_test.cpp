#include "timeline/hybrid_clock.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;

TEST_CASE("time advances even if the wall clock stops or goes back")
{
    timeline::hybrid_clock clock;
    hybrid_time const first =
        timeline::advance(clock, wall_time(duration(100)));
    hybrid_time const second =
        timeline::advance(clock, wall_time(duration(100)));
    hybrid_time const third = timeline::advance(clock, wall_time(duration(50)));
    CHECK(first < second);
    CHECK(second < third);
}

TEST_CASE("the time of receipt is later than the time of sending")
{
    timeline::hybrid_clock clock;
    hybrid_time const sent{500, 3};
    CHECK(timeline::advance(clock, wall_time(duration(100)), sent) > sent);
}

TEST_CASE("a remote time far ahead of the wall clock is ignored")
{
    timeline::hybrid_clock clock;
    hybrid_time const wrong{3'600'000'000, 0};
    hybrid_time const reading =
        timeline::advance(clock, wall_time(duration(100)), wrong);
    CHECK(reading == hybrid_time{100, 0});
}
