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

// Two nodes for each service of the chain a -> b -> c.
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

effects inject(state& node, event const& incoming)
{
    constexpr instant now{100s};
    return reduce(node, incoming, moment{now, wall_time(100s)});
}

template <class Effect>
Effect find_effect(effects const& out)
{
    for (effect const& emitted : out)
    {
        if (auto const* found = std::get_if<Effect>(&emitted))
        {
            return *found;
        }
    }
    FAIL("the effect is missing");
    return {};
}

// Passes a request to the node beside an upstream that refuses it, and returns
// whether the node permits a retry.
bool is_repeat_granted(state& node, std::uint64_t id, std::uint32_t urgency)
{
    request_arrived arrived;
    arrived.exchange = exchange_id{id};
    arrived.source = request_source::peer;
    arrived.head = make_head("c", "/x", "t" + std::to_string(id));
    arrived.head.time_left = 1s;
    arrived.hop.emplace();
    arrived.hop->service = "c";
    arrived.hop->rank = std::to_string(urgency);
    arrived.hop->urgency = urgency;
    arrived.hop->route = route_terms{true, 1s};
    auto const sent = find_effect<dispatch_request>(inject(node, arrived));
    attempt_answered refused;
    refused.attempt = sent.attempt;
    refused.status = 503;
    refused.is_upstream_refusal = true;
    return find_effect<refuse_request>(inject(node, refused))
        .report.is_repeat_granted;
}

} // namespace

TEST_CASE("a request is answered through a chain of services")
{
    virtual_fleet fleet(default_settings());
    add_chain(fleet);
    fleet.submit(4, make_head("a", "/browse", "t1"));
    fleet.run_for(1s);
    REQUIRE(fleet.answers().size() == 1);
    caller_answer const& answer = fleet.answers().front();
    CHECK(answer.is_upstream_answer);
    CHECK(answer.outcome == verdict::ran);
    CHECK(answer.attempts == 3);
    CHECK(fleet.executions("c", "t1") == 1);
}

TEST_CASE(
    "the node beside an upstream grants repeats of urgent refused requests")
{
    options startup_options;
    startup_options.self = {"10.0.0.1:7000", 1};
    startup_options.has_routes = true;
    startup_options.fleet_budget = {0.2, 48};
    state beside = make_state(startup_options);
    inject(beside, upstream_announced{{"c", "127.0.0.1:8000", 10, 10, 0s, ""}});
    // The bucket starts with one permit and gains another one after twenty
    // requests.
    CHECK(is_repeat_granted(beside, 1, 1000));
    CHECK_FALSE(is_repeat_granted(beside, 2, 1000));
    for (std::uint64_t id = 3; id < 23; ++id)
    {
        CHECK_FALSE(is_repeat_granted(beside, id, 999));
    }
    CHECK(is_repeat_granted(beside, 23, 1000));
}

TEST_CASE(
    "a request for an unknown service is refused with the verdict not-run")
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
        CHECK(answer.is_upstream_answer);
    }
    CHECK(fleet.upstream(4).executions_by_key["key-1"] +
              fleet.upstream(5).executions_by_key["key-1"] ==
          1);
}

TEST_CASE(
    "a planned stop finishes requests in flight, refuses new ones and exits")
{
    virtual_fleet fleet(default_settings());
    add_chain(fleet);
    for (int index = 0; index < 200; ++index)
    {
        fleet.submit(2,
                     make_head("c", "/browse", "t" + std::to_string(index)),
                     index * 5ms);
    }
    fleet.inject(4, stop_requested{}, 300ms);
    fleet.run_for(10s);
    CHECK(fleet.has_exited(4));
    REQUIRE(fleet.answers().size() == 200);
    for (caller_answer const& answer : fleet.answers())
    {
        CHECK(answer.is_upstream_answer);
    }
}

// Guards against a planned stop that closes its callers' connections without an
// answer once its time is over.
TEST_CASE("requests left at the limit of a planned stop get a true answer")
{
    virtual_fleet fleet(default_settings());
    fleet.add(plan_of("edge"));
    std::size_t const target = fleet.add(plan_of("c"));
    fleet.form();
    fleet.upstream(target).plan.service_time = 3s;
    fleet.node(0).startup_options.stop_limit = 1s;
    fleet.submit(0, make_head("c", "/book", "running", "POST"));
    fleet.submit(0, make_head("unknown", "/book", "waiting", "POST"), 995ms);
    fleet.inject(0, stop_requested{}, 10ms);
    fleet.run_for(2s);
    CHECK(fleet.has_exited(0));
    REQUIRE(fleet.answers().size() == 2);
    for (caller_answer const& answer : fleet.answers())
    {
        bool const is_running = answer.trace_id == "running";
        CHECK(answer.outcome ==
              (is_running ? verdict::may_have_run : verdict::not_run));
        CHECK(answer.status == (is_running ? 504 : 503));
        CHECK(answer.reason == "draining");
    }
}

TEST_CASE("an unkeyed write whose answer is lost is not repeated")
{
    virtual_fleet fleet(default_settings());
    fleet.add(plan_of("edge"));
    std::size_t const target = fleet.add(plan_of("c"));
    fleet.form();
    fleet.upstream(target).plan.lost_answer_fraction = 1.0;
    fleet.submit(0, make_head("c", "/book", "t1", "POST"));
    fleet.run_for(5s);
    REQUIRE(fleet.answers().size() == 1);
    CHECK(fleet.answers().front().outcome == verdict::may_have_run);
    CHECK(fleet.answers().front().status == 504);
    CHECK(fleet.executions("c", "t1") == 1);
}
