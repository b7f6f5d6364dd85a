#include "node/latencies.hpp"
#include "node/statistics.hpp"
#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

#include <cmath>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

std::vector<statistic> latencies_of(state const& node)
{
    std::vector<statistic> samples = collect_statistics(node);
    std::erase_if(samples,
                  [](statistic const& sample)
                  { return sample.kind != statistic_kind::histogram; });
    return samples;
}

} // namespace

TEST_CASE("a latency counts in its bucket and in all higher ones")
{
    state node;
    latency_key const key{latency_place::upstream, "browsing", "answered"};
    for (duration const took :
         std::initializer_list<duration>{0us, 1500us, 100ms, 60s})
    {
        add(node.request_latencies, key, took);
    }
    auto const samples = latencies_of(node);
    REQUIRE(samples.size() == 1);
    CHECK(samples.front().value == Approx(60.1015));
    auto const& buckets = samples.front().buckets;
    CHECK(buckets.front().upper_bound == Approx(0.001));
    CHECK(buckets.front().cumulative_count == 1);
    CHECK(buckets[1].cumulative_count == 2);
    CHECK(std::isinf(buckets.back().upper_bound));
    CHECK(buckets.back().cumulative_count == 4);
    CHECK(buckets[buckets.size() - 2].cumulative_count == 3);
}

TEST_CASE("latency is measured at the entrance and beside the upstream")
{
    fleet_settings settings;
    settings.document = test_document();
    virtual_fleet fleet(settings);
    upstream_plan plan;
    plan.service = "a";
    fleet.add(plan);
    fleet.add(plan);
    fleet.form();
    fleet.submit(0, make_head("a", "/browse", "t1"));
    fleet.run_for(1s);
    std::size_t entrances = 0;
    std::size_t upstreams = 0;
    for (std::size_t index : {0U, 1U})
    {
        for (auto const& [key, histogram] : fleet.node(index).request_latencies)
        {
            bool const is_entrance = key.place == latency_place::entrance;
            ++(is_entrance ? entrances : upstreams);
            CHECK(key.result == "answered");
        }
    }
    CHECK(entrances == 1);
    CHECK(upstreams == 1);
}
