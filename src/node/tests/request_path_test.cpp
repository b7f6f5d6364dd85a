#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

fleet_settings default_settings(std::uint64_t seed = 1)
{
    fleet_settings settings;
    settings.seed = seed;
    settings.document = test_document();
    return settings;
}

upstream_plan plan_of(std::string service,
                      std::vector<std::string> downstream = {})
{
    upstream_plan plan;
    plan.service = std::move(service);
    plan.downstream = std::move(downstream);
    return plan;
}

// Two nodes of each service of a chain a -> b -> c.
void add_chain(virtual_fleet& fleet)
{
    fleet.add(plan_of("a", {"b"}), "z1");
    fleet.add(plan_of("a", {"b"}), "z2");
    fleet.add(plan_of("b", {"c"}), "z1");
    fleet.add(plan_of("b", {"c"}), "z2");
    fleet.add(plan_of("c"), "z1");
    fleet.add(plan_of("c"), "z2");
    fleet.form();
}

} // namespace

TEST_CASE("a request is answered whole through a chain of services")
{
    virtual_fleet fleet(default_settings());
    add_chain(fleet);
    fleet.submit(4, make_head("a", "/browse", "t1"));
    fleet.run_for(1s);
    REQUIRE(fleet.answers().size() == 1);
    caller_answer const& answer = fleet.answers().front();
    CHECK(answer.is_whole);
    CHECK(answer.outcome == verdict::ran);
    CHECK(answer.attempts == 3);
    CHECK(fleet.executions("c", "t1") == 1);
}

TEST_CASE("a request for an unknown service is refused as not run")
{
    virtual_fleet fleet(default_settings());
    add_chain(fleet);
    fleet.submit(0, make_head("nobody", "/browse", "t1"));
    fleet.run_for(3s);
    REQUIRE(fleet.answers().size() == 1);
    CHECK(fleet.answers().front().outcome == verdict::not_run);
    CHECK(fleet.answers().front().status == 503);
}

TEST_CASE("a repeated key is executed once and answered each time")
{
    virtual_fleet fleet(default_settings());
    add_chain(fleet);
    for (std::size_t node = 0; node < 6; ++node)
    {
        request_head head =
            make_head("c", "/book", "t" + std::to_string(node), "POST");
        head.idempotency_key = "key-1";
        fleet.submit(node, head, node * 3ms);
    }
    fleet.run_for(3s);
    REQUIRE(fleet.answers().size() == 6);
    for (caller_answer const& answer : fleet.answers())
    {
        CHECK(answer.is_whole);
    }
    CHECK(fleet.upstream(4).effects["key-1"] +
              fleet.upstream(5).effects["key-1"] ==
          1);
}

TEST_CASE("a planned stop finishes what is in flight, refuses the rest, exits")
{
    virtual_fleet fleet(default_settings());
    add_chain(fleet);
    for (int index = 0; index < 200; ++index)
    {
        fleet.submit(2,
                     make_head("c", "/browse", "t" + std::to_string(index)),
                     index * 5ms);
    }
    fleet.hand_in(4, stop_requested{}, 300ms);
    fleet.run_for(10s);
    CHECK(fleet.has_exited(4));
    REQUIRE(fleet.answers().size() == 200);
    for (caller_answer const& answer : fleet.answers())
    {
        CHECK(answer.is_whole);
    }
}

TEST_CASE("an unkeyed write whose answer is lost is not repeated")
{
    virtual_fleet fleet(default_settings());
    fleet.add(plan_of("edge"));
    std::size_t const target = fleet.add(plan_of("c"));
    fleet.form();
    fleet.upstream(target).plan.lost_answers = 1.0;
    fleet.submit(0, make_head("c", "/book", "t1", "POST"));
    fleet.run_for(5s);
    REQUIRE(fleet.answers().size() == 1);
    CHECK(fleet.answers().front().outcome == verdict::may_have_run);
    CHECK(fleet.answers().front().status == 504);
    CHECK(fleet.executions("c", "t1") == 1);
}
