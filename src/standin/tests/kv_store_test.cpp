#include "standin/kv_store.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally::standin;
using namespace std::chrono_literals;

namespace
{

std::uint64_t written_revision(kv_write_result const& outcome)
{
    return std::get<kv_written>(outcome).revision;
}

} // namespace

TEST_CASE("a write succeeds only with the expected revision")
{
    kv_store store;
    REQUIRE(written_revision(store.compare_and_swap("a", "1", 0, "")) == 1);
    REQUIRE(written_revision(store.compare_and_swap("b", "1", 0, "")) == 2);

    auto const stale = store.compare_and_swap("a", "2", 0, "");
    CHECK(std::get<kv_conflict>(stale).current_revision == 1);
    CHECK(store.find("a")->value == "1");

    CHECK(written_revision(store.compare_and_swap("a", "2", 1, "")) == 3);
    CHECK(store.find("a")->value == "2");
}

TEST_CASE("an expired lease is unknown and its keys are removed")
{
    kv_store store;
    kv_store::time_point const start{};
    auto const lease = store.grant_lease(100ms, start).value();
    REQUIRE(written_revision(store.compare_and_swap("a", "1", 0, lease)) == 1);

    CHECK(store.renew_lease(lease, start + 90ms) == 100ms);
    CHECK_FALSE(store.expire_leases(start + 189ms));
    CHECK(store.find("a") != nullptr);

    CHECK_FALSE(store.renew_lease(lease, start + 190ms).has_value());
    CHECK(store.expire_leases(start + 190ms));
    CHECK(store.find("a") == nullptr);
    auto const late = store.compare_and_swap("a", "2", 0, lease);
    CHECK(std::holds_alternative<kv_unknown_lease>(late));
}

TEST_CASE(
    "a key rewritten without a lease survives the expiry of its old lease")
{
    kv_store store;
    kv_store::time_point const start{};
    auto const lease = store.grant_lease(100ms, start).value();
    store.compare_and_swap("a", "1", 0, lease);
    store.compare_and_swap("a", "2", 1, "");

    CHECK_FALSE(store.expire_leases(start + 200ms));
    CHECK(store.find("a")->value == "2");
}

TEST_CASE("a removed and recreated key gets a new revision")
{
    kv_store store;
    kv_store::time_point const start{};
    auto const lease = store.grant_lease(100ms, start).value();
    store.compare_and_swap("a", "1", 0, lease);
    store.expire_leases(start + 100ms);

    CHECK(written_revision(store.compare_and_swap("a", "2", 0, "")) == 3);
}

TEST_CASE("a value above the limit is refused")
{
    kv_store store;
    std::string value(kv_store::value_limit_bytes + 1, 'x');
    auto const refused = store.compare_and_swap("a", value, 0, "");
    CHECK(std::holds_alternative<kv_too_large>(refused));

    value.pop_back();
    CHECK(written_revision(store.compare_and_swap("a", value, 0, "")) == 1);
}
