#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

constexpr int requests = 12;

// A number in [low, high) whose range does not depend on the size that
// RapidCheck increases from case to case.
template <class Number>
Number draw(Number low, Number high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

std::string service_name(std::size_t index)
{
    return "s" + std::to_string(index);
}

// A random call tree: each service calls some of those after it.
struct call_tree
{
    std::vector<upstream_plan> plans;
    // Number of call paths from the first service to each service.
    std::vector<std::uint32_t> paths;
};

call_tree draw_tree()
{
    call_tree tree;
    auto const services = draw<std::size_t>(2, 6);
    tree.paths.assign(services, 0);
    tree.paths[0] = 1;
    for (std::size_t index = 0; index < services; ++index)
    {
        upstream_plan plan;
        plan.service = service_name(index);
        plan.slots = draw<std::uint32_t>(1, 5);
        plan.service_time = std::chrono::milliseconds(draw(1, 120));
        plan.is_parallel = draw(0, 2) == 1;
        plan.lost_answer_fraction = draw(0, 3) * 0.1;
        plan.refused_fraction = draw(0, 3) * 0.15;
        plan.late_refusal_fraction = draw(0, 3) * 0.15;
        for (std::size_t later = index + 1; later < services; ++later)
        {
            if (draw(0, 2) == 1)
            {
                plan.downstream.push_back(service_name(later));
                tree.paths[later] += tree.paths[index];
            }
        }
        tree.plans.push_back(std::move(plan));
    }
    return tree;
}

// Retries over all cases, to verify that the cases do cause retries.
std::uint64_t retried = 0;

std::uint64_t count_retries(virtual_fleet& fleet, std::size_t nodes)
{
    std::uint64_t sum = 0;
    for (std::size_t node = 0; node < nodes; ++node)
    {
        for (auto const& [key, value] : fleet.node(node).request_counts.total)
        {
            sum += key.kind == count_kind::retried ? value : 0;
        }
    }
    return sum;
}

// Runs requests through a fleet of two nodes per service in which answers are
// lost, and returns the fleet.
std::unique_ptr<virtual_fleet> run_tree(call_tree const& tree,
                                        std::string const& method,
                                        std::string const& key)
{
    fleet_settings settings;
    settings.seed = draw<std::uint64_t>(1, 1000);
    settings.document = test_document();
    settings.lost_peer_answer_fraction = draw(0, 4) * 0.1;
    auto fleet = std::make_unique<virtual_fleet>(settings);
    for (upstream_plan const& plan : tree.plans)
    {
        fleet->add(plan, "z1");
        fleet->add(plan, "z2");
    }
    fleet->form();
    std::size_t const nodes = tree.plans.size() * 2;
    for (int index = 0; index < requests; ++index)
    {
        request_head head = make_head(
            service_name(0), "/browse", "t" + std::to_string(index), method);
        head.time_left = std::chrono::milliseconds(draw(5, 800));
        head.idempotency_key = key.empty() ? "" : key + head.trace_id;
        fleet->submit(draw<std::size_t>(0, nodes),
                      head,
                      std::chrono::milliseconds(draw(0, 200)));
    }
    fleet->run_for(20s);
    retried += count_retries(*fleet, nodes);
    return fleet;
}

std::uint32_t retries_of(std::string_view rank_name)
{
    auto const document = test_document();
    return configuration::find_rank(document, rank_name)->attempt_budget - 1;
}

void check_answers(virtual_fleet const& fleet, call_tree const& tree)
{
    RC_ASSERT(fleet.answers().size() == static_cast<std::size_t>(requests));
    std::set<std::string> traces;
    for (caller_answer const& answer : fleet.answers())
    {
        traces.insert(answer.trace_id);
        if (answer.outcome != verdict::not_run)
        {
            continue;
        }
        for (upstream_plan const& plan : tree.plans)
        {
            RC_ASSERT(fleet.executions(plan.service, answer.trace_id) == 0U);
        }
    }
    RC_ASSERT(traces.size() == static_cast<std::size_t>(requests));
}

void check_executions(virtual_fleet const& fleet,
                      call_tree const& tree,
                      std::uint32_t retries)
{
    for (int index = 0; index < requests; ++index)
    {
        std::string const trace = "t" + std::to_string(index);
        for (std::size_t service = 0; service < tree.plans.size(); ++service)
        {
            RC_ASSERT(fleet.executions(service_name(service), trace) <=
                      tree.paths[service] * (1 + retries));
        }
    }
}

} // namespace

TEST_CASE("reads are executed at most once plus the retries of the budget")
{
    retried = 0;
    CHECK(rc::check(
        []
        {
            call_tree const tree = draw_tree();
            auto const fleet = run_tree(tree, "GET", "");
            check_answers(*fleet, tree);
            check_executions(*fleet, tree, retries_of("browsing"));
        }));
    CHECK(retried > 100);
}

TEST_CASE("writes are executed at most once even if answers are lost")
{
    CHECK(rc::check(
        []
        {
            call_tree const tree = draw_tree();
            auto const fleet = run_tree(tree, "POST", "");
            check_answers(*fleet, tree);
            check_executions(*fleet, tree, 0);
        }));
}

TEST_CASE("keyed writes are executed at most once even if answers are lost")
{
    CHECK(rc::check(
        []
        {
            call_tree const tree = draw_tree();
            auto const fleet = run_tree(tree, "POST", "key-");
            check_answers(*fleet, tree);
            check_executions(*fleet, tree, 0);
        }));
}

namespace
{

constexpr std::uint32_t star_leaves = 4;

// Runs one request through a fleet in which the connection of every lost answer
// is closed at once, and returns the fleet.
std::unique_ptr<virtual_fleet>
run_cut_off(std::vector<upstream_plan> const& plans)
{
    fleet_settings settings;
    settings.document = test_document();
    settings.closed_fraction = 1.0;
    auto fleet = std::make_unique<virtual_fleet>(settings);
    for (upstream_plan const& plan : plans)
    {
        fleet->add(plan, "z1");
        fleet->add(plan, "z2");
    }
    fleet->form();
    std::size_t const entrance = plans.size() * 2 - 1;
    fleet->submit(entrance, make_head(service_name(0), "/browse", "t0"));
    fleet->run_for(20s);
    return fleet;
}

} // namespace

TEST_CASE("a chain that loses every answer stays within its retry budget")
{
    std::vector<upstream_plan> plans(4);
    for (std::size_t index = 0; index < plans.size(); ++index)
    {
        plans[index].service = service_name(index);
        plans[index].lost_answer_fraction = 1.0;
        if (index + 1 < plans.size())
        {
            plans[index].downstream = {service_name(index + 1)};
        }
    }
    auto const fleet = run_cut_off(plans);
    for (std::size_t index = 0; index < plans.size(); ++index)
    {
        CHECK(fleet->executions(service_name(index), "t0") <=
              1 + retries_of("browsing"));
    }
    REQUIRE(fleet->answers().size() == 1);
    CHECK(fleet->answers().front().outcome == verdict::may_have_run);
}

TEST_CASE("parallel calls that lose their answers share one retry budget")
{
    std::vector<upstream_plan> plans(1 + star_leaves);
    plans[0].is_parallel = true;
    for (std::size_t index = 0; index < plans.size(); ++index)
    {
        plans[index].service = service_name(index);
        if (index > 0)
        {
            plans[index].lost_answer_fraction = 1.0;
            plans[0].downstream.push_back(service_name(index));
        }
    }
    auto const fleet = run_cut_off(plans);
    std::uint32_t executions = 0;
    for (std::size_t index = 1; index < plans.size(); ++index)
    {
        executions += fleet->executions(service_name(index), "t0");
    }
    CHECK(executions >= star_leaves);
    CHECK(executions <= star_leaves + retries_of("browsing"));
}
