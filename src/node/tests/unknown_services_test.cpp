#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

TEST_CASE("requests for services that don't exist leave no state behind")
{
    fleet_settings settings;
    settings.document = test_document();
    virtual_fleet fleet(settings);
    upstream_plan plan;
    plan.service = "c";
    fleet.add(plan);
    fleet.form();
    constexpr int requests = 500;
    for (int i = 0; i < requests; ++i)
    {
        std::string const name = std::to_string(i);
        fleet.submit(
            0, make_head("unknown-" + name, "/browse", "t" + name), i * 2ms);
    }
    fleet.run_for(10s);
    CHECK(fleet.answers().size() == requests);
    CHECK(fleet.node(0).table.exchanges.empty());
    CHECK(fleet.node(0).retries.buckets.size() <= 1);
    CHECK(fleet.node(0).throttle.recent.size() <= 1);
}
