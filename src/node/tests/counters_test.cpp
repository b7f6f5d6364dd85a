#include "node/counters.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

count_key arrived(std::string service, std::string caller)
{
    count_key key;
    key.service = std::move(service);
    key.rank = "browsing";
    key.caller = std::move(caller);
    return key;
}

} // namespace

TEST_CASE("names chosen by callers don't make the counters grow without bound")
{
    counters all;
    instant const now{100s};
    for (int i = 0; i < 10'000; ++i)
    {
        std::string const name = std::to_string(i);
        add(all, arrived("s" + name, "c" + name), now);
    }
    CHECK(all.total.size() <= max_named_services + 1);
    REQUIRE(all.buckets.size() == 1);
    CHECK(all.buckets.front().callers.size() <= max_named_callers);
    std::uint64_t sum = 0;
    for (auto const& [key, value] : all.total)
    {
        CHECK(key.caller.empty());
        sum += value;
    }
    CHECK(sum == 10'000);
}

TEST_CASE("buckets count by caller, and old buckets are dropped")
{
    counters all;
    for (int bucket = 0; bucket < 100; ++bucket)
    {
        add(all, arrived("s", "c1"), instant{1000s} + bucket * bucket_length);
        add(all, arrived("s", "c2"), instant{1000s} + bucket * bucket_length);
    }
    CHECK(all.buckets.size() == bucket_count);
    CHECK(all.buckets.back().values.at(arrived("s", "c1")) == 1);
    CHECK(all.total.at(arrived("s", "")) == 200);
}
