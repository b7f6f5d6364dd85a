#include "retry/budget.hpp"
#include "retry/policy.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;

namespace
{

retry::failed_attempt failed_read()
{
    retry::failed_attempt failed;
    failed.service = "rota-board";
    failed.outcome = verdict::may_have_run;
    failed.reason = refusal::attempt_failed;
    failed.is_idempotent = true;
    failed.retries_left = 2;
    failed.time_left = std::chrono::seconds(2);
    return failed;
}

retry::retry_kind choose(retry::failed_attempt const& failed)
{
    retry::state retries;
    random_source random(7);
    return retry::decide(retries, failed, random).kind;
}

} // namespace

TEST_CASE("the nodes of a fleet share its retry budget")
{
    retry::fleet_budget const budget{0.2, 48};
    CHECK(retry::node_allowance(budget, 12).capacity == 2.0);
    CHECK(retry::node_allowance(budget, 12).per_request == 0.1);
    CHECK(retry::node_allowance(budget, 1000).capacity == 1.0);
    CHECK(retry::node_allowance(budget, 0).capacity == 24.0);
}

TEST_CASE("a read that may have run is retried")
{
    CHECK(choose(failed_read()) == retry::retry_kind::retry);
}

TEST_CASE("a write is retried only when it was not run")
{
    retry::failed_attempt failed = failed_read();
    failed.is_idempotent = false;
    CHECK(choose(failed) == retry::retry_kind::give_up);
    failed.outcome = verdict::not_run;
    CHECK(choose(failed) == retry::retry_kind::retry);
}

TEST_CASE("a read with an idempotency key that may have run is not retried")
{
    retry::failed_attempt failed = failed_read();
    failed.is_keyed = true;
    CHECK(choose(failed) == retry::retry_kind::give_up);
}

TEST_CASE("no retry without budget or time, or after shedding at the source")
{
    retry::failed_attempt failed = failed_read();
    failed.retries_left = 0;
    CHECK(choose(failed) == retry::retry_kind::give_up);
    failed = failed_read();
    failed.time_left = std::chrono::milliseconds(1);
    CHECK(choose(failed) == retry::retry_kind::give_up);
    failed = failed_read();
    failed.reason = refusal::shed_at_source;
    CHECK(choose(failed) == retry::retry_kind::give_up);
}

TEST_CASE("a draining node's refusal costs no retry for a few redirections")
{
    retry::failed_attempt failed = failed_read();
    failed.reason = refusal::draining;
    failed.outcome = verdict::not_run;
    failed.retries_left = 0;
    CHECK(choose(failed) == retry::retry_kind::redirect);
    failed.redirections_made = retry::max_redirections;
    CHECK(choose(failed) == retry::retry_kind::give_up);
}

TEST_CASE("retries to a service are limited to a fraction of its requests")
{
    retry::state retries;
    random_source random(7);
    constexpr int requests = 1000;
    int retried = 0;
    for (int index = 0; index < requests; ++index)
    {
        retry::note_request(retries, "rota-board", 0, instant{});
        auto const decision = retry::decide(retries, failed_read(), random);
        retried += decision.kind == retry::retry_kind::retry ? 1 : 0;
    }
    double const bound =
        requests * retry::tokens_per_request + retry::max_tokens;
    CHECK(retried <= bound);
    CHECK(retried > 0);
}

TEST_CASE("urgent requests are retried when others have used up their tokens")
{
    constexpr std::uint32_t urgent = 1000;
    constexpr std::uint32_t normal = 999;
    retry::state retries;
    retries.bucket_allowance = retry::node_allowance({0.2, 48}, 70);
    random_source random(7);
    int normal_retries = 0;
    for (int index = 0; index < 1000; ++index)
    {
        // 100 requests per second, all of which fail; one in 50 is urgent.
        instant const now{std::chrono::milliseconds(10 * index)};
        auto failed = failed_read();
        failed.urgency = index % 50 == 0 ? urgent : normal;
        retry::note_request(retries, failed.service, failed.urgency, now);
        auto const decision = retry::decide(retries, failed, random);
        bool const is_retried = decision.kind == retry::retry_kind::retry;
        if (failed.urgency == normal)
        {
            normal_retries += is_retried ? 1 : 0;
        }
        else if (index > 0)
        {
            CHECK(is_retried);
        }
    }
    CHECK(normal_retries > 50);
    CHECK(normal_retries <= 100);
}

TEST_CASE("after a pause a bucket shrinks to the capacity of its allowance")
{
    retry::token_bucket bucket;
    auto const allowed = retry::node_allowance({0.2, 48}, 12);
    for (int index = 0; index < 1000; ++index)
    {
        instant const now{std::chrono::milliseconds(index)};
        retry::note_request(bucket, allowed, 0, now);
    }
    CHECK(bucket.tokens > allowed.capacity);
    retry::note_request(bucket, allowed, 0, instant{std::chrono::seconds(20)});
    CHECK(bucket.tokens <= allowed.capacity);
}

TEST_CASE("permits go to a fraction of the requests, the most urgent ones")
{
    constexpr std::uint32_t urgent = 1000;
    constexpr std::uint32_t normal = 999;
    retry::fleet_budget const budget{0.2, 48};
    retry::token_bucket bucket;
    int granted = 0;
    for (int index = 0; index < 1000; ++index)
    {
        instant const now{std::chrono::milliseconds(10 * index)};
        std::uint32_t const urgency = index % 4 == 0 ? urgent : normal;
        retry::note_request(
            bucket, retry::permit_allowance(budget), urgency, now);
        bool const is_granted = retry::take_permit(bucket, urgency);
        granted += is_granted ? 1 : 0;
        CHECK((urgency == urgent || index == 0 || !is_granted));
    }
    CHECK(granted >= 49);
    CHECK(granted <= 51);
}

TEST_CASE("a permitted retry needs no token of the sender")
{
    retry::state retries;
    retries.bucket_allowance = {0, 0, 0};
    random_source random(7);
    auto failed = failed_read();
    CHECK(retry::decide(retries, failed, random).kind ==
          retry::retry_kind::give_up);
    failed.is_retry_permitted = true;
    CHECK(retry::decide(retries, failed, random).kind ==
          retry::retry_kind::retry);
    failed.retries_left = 0;
    CHECK(retry::decide(retries, failed, random).kind ==
          retry::retry_kind::give_up);
}

TEST_CASE("dividing and returning a retry budget never increases it")
{
    for (std::uint32_t retries = 0; retries < 20; ++retries)
    {
        auto const split = retry::split_for_forward(retries);
        CHECK(split.kept + split.passed == retries);
        CHECK(retry::child_budget(retries) <= retries);
        CHECK(retry::returned_budget(split.passed, retries + 5) <=
              split.passed);
    }
}
