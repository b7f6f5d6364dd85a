#include "lifecycle/lifecycle.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace std::chrono_literals;

namespace
{

lifecycle::state serving()
{
    lifecycle::state life;
    lifecycle::announce(life, {});
    return life;
}

} // namespace

TEST_CASE("a node takes work from its upstream's announcement on")
{
    lifecycle::state life;
    CHECK_FALSE(lifecycle::takes_work(life));
    CHECK(lifecycle::announce(life, {}) == lifecycle::transition::opened);
    CHECK(lifecycle::announce(life, {}) == lifecycle::transition::none);
}

TEST_CASE("a stop serves callers for a while, then only what it has")
{
    lifecycle::state life = serving();
    instant const now{100s};
    lifecycle::stop(life, {3s, 5s}, now);
    CHECK_FALSE(lifecycle::refuses_callers(life, now + 2s));
    CHECK(lifecycle::next_deadline(life, now) == now + 3s);
    CHECK_FALSE(lifecycle::request_exit(life, {false, true}, now + 2s));
    CHECK(lifecycle::refuses_callers(life, now + 3s));
    CHECK_FALSE(lifecycle::request_exit(life, {true, true}, now + 3s));
    CHECK(lifecycle::request_exit(life, {true, true}, now + 5s));
}

TEST_CASE("an operator's drain outlasts the upstream's announcement")
{
    lifecycle::state life = serving();
    CHECK(lifecycle::set_drain_by_operator(life, true) ==
          lifecycle::transition::drained);
    CHECK(lifecycle::announce(life, {}) == lifecycle::transition::none);
    CHECK(lifecycle::set_drain_by_operator(life, false) ==
          lifecycle::transition::opened);
}

TEST_CASE("a stop waits for requests in flight and for the keys")
{
    lifecycle::state life = serving();
    instant const now{1s};
    lifecycle::stop(life, {0s, 60s}, now);
    CHECK_FALSE(lifecycle::request_exit(life, {true, true}, now));
    CHECK_FALSE(lifecycle::request_exit(life, {false, false}, now));
    CHECK(lifecycle::request_exit(life, {false, true}, now));
    CHECK_FALSE(lifecycle::request_exit(life, {false, true}, now));
}

TEST_CASE("a stop ends at its limit, which a second request does not move")
{
    lifecycle::state life = serving();
    instant const now{1s};
    lifecycle::stop(life, {0s, 60s}, now);
    lifecycle::stop(life, {0s, 60s}, now + 30s);
    CHECK_FALSE(lifecycle::request_exit(life, {true, false}, now + 59s));
    CHECK(lifecycle::request_exit(life, {true, false}, now + 60s));
}
