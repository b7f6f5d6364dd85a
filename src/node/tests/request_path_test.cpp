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

TEST_CASE("what an upstream refuses is repeated by the permits of its node")
{
    virtual_fleet fleet(default_settings());
    add_chain(fleet);
    for (std::size_t index = 0; index < 6; ++index)
    {
        fleet.node(index).own.fleet_budget = {0.2, 48};
    }
    fleet.upstream(4).plan.refused = 0.5;
    fleet.upstream(5).plan.refused = 0.5;
    constexpr int usual = 1000;
    for (int index = 0; index < usual; ++index)
    {
        fleet.submit(index % 2,
                     make_head("c", "/browse", "b" + std::to_string(index)),
                     10ms * index);
    }
    // An entrance with too few requests to earn repeats of its own.
    constexpr int urgent = 100;
    for (int index = 0; index < urgent; ++index)
    {
        fleet.submit(3,
                     make_head("c", "/confirm", "u" + std::to_string(index)),
                     100ms * index);
    }
    fleet.run_for(15s);
    int served = 0;
    int arrived = 0;
    for (caller_answer const& answer : fleet.answers())
    {
        bool const is_urgent = answer.trace_id.starts_with('u');
        served += is_urgent && answer.is_whole ? 1 : 0;
    }
    for (std::size_t index : {4U, 5U})
    {
        for (auto const& [key, value] : fleet.node(index).counted.total)
        {
            bool const is_arrival = key.kind == count_kind::arrived;
            arrived += is_arrival ? static_cast<int>(value) : 0;
        }
    }
    CHECK(served >= 90);
    CHECK(arrived - usual - urgent <= (usual + urgent) / 5 + 48);
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
