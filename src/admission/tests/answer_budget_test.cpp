#include "admission/answer_budget.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace plantaintally::admission;

namespace
{

constexpr std::uint64_t limit_bytes = 1000;

struct budget_fixture
{
    std::shared_ptr<answer_budget> budget =
        std::make_shared<answer_budget>(limit_bytes);
    // The answers that were broken off, in this order.
    std::vector<std::string> broken_off;

    std::unique_ptr<answer_reading> read(std::string const& sender,
                                         std::string const& name)
    {
        return std::make_unique<answer_reading>(
            this->budget,
            sender,
            [this, name] { this->broken_off.push_back(name); });
    }
};

} // namespace

TEST_CASE("answers that fit are read and kept")
{
    budget_fixture fixture;
    auto const first = fixture.read("a", "first");
    auto const second = fixture.read("b", "second");
    CHECK(first->grow_to(300));
    CHECK(first->grow_to(500));
    CHECK(second->grow_to(300));
    CHECK(fixture.budget->keep(200));
    CHECK(fixture.budget->read_bytes() == 800);
    CHECK(fixture.budget->kept_bytes() == 200);
    CHECK(fixture.broken_off.empty());
}

TEST_CASE("the largest answer of the sender that holds most is broken off")
{
    budget_fixture fixture;
    auto const lone = fixture.read("lone", "lone");
    auto const small = fixture.read("faulty", "small");
    auto const middle = fixture.read("faulty", "middle");
    auto const large = fixture.read("faulty", "large");
    CHECK(lone->grow_to(400));
    CHECK(small->grow_to(100));
    CHECK(middle->grow_to(200));
    CHECK(large->grow_to(300));
    // Although the lone answer is the largest.
    CHECK(lone->grow_to(401));
    CHECK(fixture.broken_off == std::vector<std::string>{"large"});
    CHECK(fixture.budget->read_bytes() == 701);
    CHECK_FALSE(large->grow_to(301));
    CHECK(fixture.budget->broken_off_count() == 1);
    // Bytes that were given back are not given back again.
    CHECK(small->grow_to(399));
    CHECK(fixture.budget->read_bytes() == 1000);
}

TEST_CASE("an answer that is the largest itself is read no further")
{
    budget_fixture fixture;
    auto const other = fixture.read("a", "other");
    auto const endless = fixture.read("a", "endless");
    CHECK(other->grow_to(100));
    CHECK(endless->grow_to(900));
    CHECK_FALSE(endless->grow_to(901));
    CHECK(fixture.budget->read_bytes() == 100);
    CHECK(other->grow_to(1000));
}

TEST_CASE("kept answers take the place of answers that are being read")
{
    budget_fixture fixture;
    auto const reading = fixture.read("a", "reading");
    CHECK(reading->grow_to(600));
    CHECK(fixture.budget->keep(400));
    CHECK(fixture.broken_off.empty());
    CHECK(fixture.budget->keep(600));
    CHECK(fixture.broken_off == std::vector<std::string>{"reading"});
    CHECK_FALSE(fixture.budget->keep(1));
    auto const next = fixture.read("a", "next");
    CHECK_FALSE(next->grow_to(1));
    fixture.budget->release(500);
    auto const later = fixture.read("a", "later");
    CHECK(later->grow_to(500));
    CHECK(fixture.budget->kept_bytes() == 500);
}

TEST_CASE("the bytes of an answer are given back when its reading ends")
{
    budget_fixture fixture;
    for (int repeat = 0; repeat < 3; ++repeat)
    {
        auto const reading = fixture.read("a", "reading");
        CHECK(reading->grow_to(limit_bytes));
    }
    CHECK(fixture.budget->read_bytes() == 0);
    // Also after it was broken off.
    {
        auto const reading = fixture.read("a", "reading");
        CHECK_FALSE(reading->grow_to(limit_bytes + 1));
    }
    CHECK(fixture.budget->read_bytes() == 0);
    CHECK(fixture.broken_off == std::vector<std::string>{"reading"});
}

TEST_CASE("readings without a budget are not limited")
{
    answer_reading reading(nullptr, "a", [] {});
    CHECK(reading.grow_to(limit_bytes * limit_bytes));
}
