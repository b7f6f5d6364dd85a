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

std::string service_name(std::size_t index)
{
    return "s" + std::to_string(index);
}

// A random call tree: each service calls some of those after it.
struct call_tree
{
    std::vector<upstream_plan> plans;
    // Ways from the first service to each one.
    std::vector<std::uint32_t> paths;
};

call_tree draw_tree()
{
    call_tree tree;
    auto const services = *rc::gen::inRange<std::size_t>(1, 5);
    tree.paths.assign(services, 0);
    tree.paths[0] = 1;
    for (std::size_t index = 0; index < services; ++index)
    {
        upstream_plan plan;
        plan.service = service_name(index);
        plan.slots = *rc::gen::inRange<std::uint32_t>(1, 5);
        plan.service_time =
            std::chrono::milliseconds(*rc::gen::inRange(1, 120));
        plan.is_parallel = *rc::gen::arbitrary<bool>();
        plan.lost_answers = *rc::gen::inRange(0, 3) * 0.1;
        plan.refused = *rc::gen::inRange(0, 3) * 0.15;
        for (std::size_t later = index + 1; later < services; ++later)
        {
            if (*rc::gen::arbitrary<bool>())
            {
                plan.downstream.push_back(service_name(later));
                tree.paths[later] += tree.paths[index];
            }
        }
        tree.plans.push_back(std::move(plan));
    }
    return tree;
}

// A fleet of two nodes a service after a run with lost and late answers.
std::unique_ptr<virtual_fleet> run_tree(call_tree const& tree,
                                        std::string const& method,
                                        std::string const& key)
{
    fleet_settings settings;
    settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    settings.document = test_document();
    settings.lost_peer_answers = *rc::gen::inRange(0, 4) * 0.1;
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
        head.time_left = std::chrono::milliseconds(*rc::gen::inRange(5, 800));
        head.idempotency_key = key.empty() ? "" : key + head.trace_id;
        fleet->submit(*rc::gen::inRange<std::size_t>(0, nodes),
                      head,
                      std::chrono::milliseconds(*rc::gen::inRange(0, 200)));
    }
    fleet->run_for(20s);
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
                      tree.paths[service] + retries);
        }
    }
}

} // namespace

TEST_CASE("reads are executed at most once plus the budget's retries")
{
    CHECK(rc::check(
        []
        {
            call_tree const tree = draw_tree();
            auto const fleet = run_tree(tree, "GET", "");
            check_answers(*fleet, tree);
            check_executions(*fleet, tree, retries_of("browsing"));
        }));
}

TEST_CASE("writes are executed at most once, whatever is lost")
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

TEST_CASE("keyed writes are executed at most once, whatever is lost")
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
