#include "admission/body_budget.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally::admission;

TEST_CASE("bodies beyond the budget are refused until others are released")
{
    auto const budget = std::make_shared<body_budget>(body_budget{1000, 0});
    body_hold first(budget);
    CHECK(first.grow_to(600));
    {
        body_hold second(budget);
        CHECK_FALSE(second.grow_to(401));
        CHECK(second.grow_to(400));
        CHECK(budget->held_bytes == 1000);
        CHECK_FALSE(first.grow_to(601));
    }
    CHECK(budget->held_bytes == 600);
    CHECK(first.grow_to(1000));
}

TEST_CASE("a moved hold is returned once")
{
    auto const budget = std::make_shared<body_budget>(body_budget{1000, 0});
    {
        body_hold first(budget);
        CHECK(first.grow_to(300));
        body_hold second(std::move(first));
        body_hold third;
        third = std::move(second);
        CHECK(budget->held_bytes == 300);
    }
    CHECK(budget->held_bytes == 0);
}
