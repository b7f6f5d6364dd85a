#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

upstream_plan plan_of(std::string service)
{
    upstream_plan plan;
    plan.service = std::move(service);
    return plan;
}

} // namespace

TEST_CASE(
    "a service with one member gets vouchers from services that join later")
{
    fleet_settings settings;
    settings.document = test_document();
    virtual_fleet fleet(settings);
    fleet.add(plan_of("c"), "z1");
    fleet.form();
    for (int i = 0; i < 8; ++i)
    {
        fleet.add(plan_of("other"), "z" + std::to_string(1 + i % 3));
    }
    fleet.form();
    fleet.run_for(60s);
    auto const& cells = fleet.node(0).once.cells;
    REQUIRE(cells.size() == 1);
    REQUIRE(!cells.begin()->second.epochs.empty());
    once::epoch const& newest = cells.begin()->second.epochs.back().content;
    CHECK(newest.vouchers.size() == once::voucher_count);
}
