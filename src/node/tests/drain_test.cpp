#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

fleet_settings settings_of_test()
{
    fleet_settings settings;
    settings.document = test_document();
    return settings;
}

// An entrance node of another service, and two nodes of service "c".
void add_pair(virtual_fleet& fleet, duration service_time = 10ms)
{
    upstream_plan edge;
    edge.service = "edge";
    fleet.add(edge);
    for (int index = 0; index < 2; ++index)
    {
        upstream_plan plan;
        plan.service = "c";
        plan.service_time = service_time;
        fleet.add(plan);
    }
    fleet.form();
}

request_head keyed_head(int index)
{
    std::string const number = std::to_string(index);
    request_head head = make_head("c", "/book", "t" + number, "POST");
    head.idempotency_key = "key-" + number;
    return head;
}

} // namespace

TEST_CASE(
    "a drained upstream gets no work and its keys are executed once elsewhere")
{
    virtual_fleet fleet(settings_of_test());
    add_pair(fleet);
    fleet.inject(1, upstream_drain_requested{});
    fleet.run_for(100ms);
    for (int index = 0; index < 40; ++index)
    {
        fleet.submit(0, keyed_head(index), index * 10ms);
        fleet.submit(0, make_head("c", "/browse", "r"), index * 10ms);
    }
    fleet.run_for(5s);
    CHECK(fleet.upstream(1).executed == 0);
    REQUIRE(fleet.answers().size() == 80);
    for (caller_answer const& answer : fleet.answers())
    {
        CHECK(answer.is_upstream_answer);
    }
    for (auto const& [key, executions] : fleet.upstream(2).executions_by_key)
    {
        CHECK(executions == 1);
    }
    CHECK(fleet.upstream(2).executions_by_key.size() == 40);
}

TEST_CASE("a caller's disconnect cancels its read but not its keyed write")
{
    virtual_fleet fleet(settings_of_test());
    add_pair(fleet, 500ms);
    fleet.submit(0, make_head("c", "/browse", "read"));
    fleet.submit(0, keyed_head(1));
    fleet.inject(0, caller_gone{exchange_id{1}}, 100ms);
    fleet.inject(0, caller_gone{exchange_id{2}}, 100ms);
    fleet.submit(0, keyed_head(1), 200ms);
    fleet.run_for(3s);
    REQUIRE(fleet.answers().size() == 1);
    CHECK(fleet.answers().front().is_upstream_answer);
    CHECK(fleet.upstream(1).executions_by_key["key-1"] +
              fleet.upstream(2).executions_by_key["key-1"] ==
          1);
    for (std::size_t node = 0; node < 3; ++node)
    {
        CHECK(fleet.node(node).table.exchanges.empty());
    }
}

TEST_CASE("a downstream call that belongs to no request is refused")
{
    virtual_fleet fleet(settings_of_test());
    add_pair(fleet);
    request_arrived orphan;
    orphan.exchange = exchange_id{77};
    orphan.source = request_source::local;
    orphan.head = make_head("c", "/browse", "unknown");
    fleet.inject(0, orphan);
    fleet.run_for(1s);
    CHECK(fleet.executions("c", "unknown") == 0);
    CHECK(fleet.node(0).table.exchanges.empty());
}
