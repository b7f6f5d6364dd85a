#include "drivers/internal/platform_client.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::drivers;

namespace
{

store_result
result_of(store_request const& call, std::uint32_t status, std::string body)
{
    return read_store_answer(call, {status, {}, std::move(body), {}});
}

} // namespace

TEST_CASE("a key is one percent-encoded path segment")
{
    CHECK(encode_segment("plantaintally/zone a.b-c_d~\xc3\xa4") ==
          "plantaintally%2Fzone%20a.b-c_d~%C3%A4");
}

TEST_CASE("store calls become HTTP requests")
{
    auto const get = make_store_request(store_get{"a/b"}, "h:1");
    CHECK(get.method == "GET");
    CHECK(get.target == "/v1/kv/a%2Fb");
    auto const watch =
        make_store_request(store_watch{"k", 7, std::chrono::seconds(2)}, "h:1");
    CHECK(watch.target == "/v1/kv/k?after=7&wait_ms=2000");
    auto const write =
        make_store_request(store_compare_and_set{"k", 3, "v", ""}, "h:1");
    CHECK(write.method == "PUT");
    CHECK(*write.body == R"({"expected_revision":3,"value":"v"})");
    auto const leased =
        make_store_request(store_compare_and_set{"k", 0, "v", "l1"}, "h:1");
    CHECK(*leased.body ==
          R"({"expected_revision":0,"lease":"l1","value":"v"})");
    auto const lease =
        make_store_request(store_grant_lease{std::chrono::seconds(5)}, "h:1");
    CHECK(lease.target == "/v1/leases");
    CHECK(*lease.body == R"({"ttl_ms":5000})");
    auto const renewal = make_store_request(store_renew_lease{"l/1"}, "h:1");
    CHECK(renewal.method == "PUT");
    CHECK(renewal.target == "/v1/leases/l%2F1");
}

TEST_CASE("HTTP responses become store results")
{
    store_compare_and_set const write{"k", 3, "v", "l1"};
    CHECK(result_of(
              store_get{"k"}, 200, R"({"key":"k","value":"v","revision":4})") ==
          store_result(store_entry{"k", "v", 4}));
    CHECK(result_of(store_get{"k"}, 404, "") == store_result(store_missing{}));
    CHECK(result_of(store_watch{"k", 4, {}}, 304, "") ==
          store_result(store_unchanged{}));
    CHECK(result_of(write, 200, R"({"revision":5})") ==
          store_result(store_written{5}));
    CHECK(result_of(write, 409, R"({"revision":9})") ==
          store_result(store_conflict{9}));
    CHECK(result_of(write, 410, "") == store_result(store_lease_lost{"l1"}));
    CHECK(result_of(
              store_grant_lease{}, 200, R"({"lease":"l2","ttl_ms":5000})") ==
          store_result(store_lease_held{"l2", std::chrono::seconds(5)}));
    CHECK(result_of(store_renew_lease{"l2"}, 404, "") ==
          store_result(store_lease_lost{"l2"}));
}

TEST_CASE("an unexpected response leaves open whether a write was made")
{
    store_compare_and_set const write{"k", 3, "v", ""};
    store_result const may_be_written = store_unavailable{true};
    CHECK(result_of(write, 500, "") == may_be_written);
    CHECK(result_of(write, 200, "not json") == may_be_written);
    CHECK(result_of(write, 200, R"({"revision":"five"})") == may_be_written);
    CHECK(result_of(write, 200, R"({"revision":-5})") == may_be_written);
    CHECK(result_of(write, 200, "[]") == may_be_written);
    CHECK(result_of(store_get{"k"}, 200, R"({"key":1})") == may_be_written);
}
