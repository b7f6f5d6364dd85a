#include "lifecycle/lifecycle.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace std::chrono_literals;

namespace
{

lifecycle::state make_serving_node()
{
    lifecycle::state node;
    lifecycle::announce(node, {});
    return node;
}

} // namespace

TEST_CASE("a node takes work once its upstream has announced itself")
{
    lifecycle::state node;
    CHECK_FALSE(lifecycle::takes_work(node));
    CHECK(lifecycle::announce(node, {}) == lifecycle::transition::opened);
    CHECK(lifecycle::announce(node, {}) == lifecycle::transition::none);
}

TEST_CASE("a stop serves callers until its minimum time, then completes open "
          "requests")
{
    lifecycle::state node = make_serving_node();
    instant const now{100s};
    lifecycle::stop(node, {3s, 5s}, now);
    CHECK_FALSE(lifecycle::refuses_callers(node, now + 2s));
    CHECK(lifecycle::next_wakeup(node, now) == now + 3s);
    CHECK_FALSE(lifecycle::request_exit(node, {false, true}, now + 2s));
    CHECK(lifecycle::refuses_callers(node, now + 3s));
    CHECK_FALSE(lifecycle::request_exit(node, {true, true}, now + 3s));
    CHECK(lifecycle::request_exit(node, {true, true}, now + 5s));
}

TEST_CASE("an upstream's announcement does not end an operator's drain")
{
    lifecycle::state node = make_serving_node();
    CHECK(lifecycle::set_drain_by_operator(node, true) ==
          lifecycle::transition::drained);
    CHECK(lifecycle::announce(node, {}) == lifecycle::transition::none);
    CHECK(lifecycle::set_drain_by_operator(node, false) ==
          lifecycle::transition::opened);
}

TEST_CASE("a stop waits for requests in flight and for the key hand-over")
{
    lifecycle::state node = make_serving_node();
    instant const now{1s};
    lifecycle::stop(node, {0s, 60s}, now);
    CHECK_FALSE(lifecycle::request_exit(node, {true, true}, now));
    CHECK_FALSE(lifecycle::request_exit(node, {false, false}, now));
    CHECK(lifecycle::request_exit(node, {false, true}, now));
    CHECK_FALSE(lifecycle::request_exit(node, {false, true}, now));
}

TEST_CASE("a stop completes at its limit, which a second stop does not move")
{
    lifecycle::state node = make_serving_node();
    instant const now{1s};
    lifecycle::stop(node, {0s, 60s}, now);
    lifecycle::stop(node, {0s, 60s}, now + 30s);
    CHECK_FALSE(lifecycle::request_exit(node, {true, false}, now + 59s));
    CHECK(lifecycle::request_exit(node, {true, false}, now + 60s));
}
