#include "retry/budget.hpp"
#include "retry/policy.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;

namespace
{

retry::failed_sending failed_read()
{
    retry::failed_sending failed;
    failed.service = "rota-board";
    failed.outcome = verdict::may_have_run;
    failed.reason = refusal::attempt_failed;
    failed.is_idempotent = true;
    failed.retries_left = 2;
    failed.time_left = std::chrono::seconds(2);
    return failed;
}

retry::retry_kind choose(retry::failed_sending const& failed)
{
    retry::state retries;
    random_source random(7);
    return retry::decide(retries, failed, random).kind;
}

} // namespace

TEST_CASE("the nodes of a fleet share its budget of repeats")
{
    retry::fleet_budget const budget{0.2, 48};
    CHECK(retry::node_allowance(budget, 12).most == 2.0);
    CHECK(retry::node_allowance(budget, 12).per_request == 0.1);
    CHECK(retry::node_allowance(budget, 1000).most == 1.0);
    CHECK(retry::node_allowance(budget, 0).most == 24.0);
}

TEST_CASE("a read that may have run is retried")
{
    CHECK(choose(failed_read()) == retry::retry_kind::retry);
}

TEST_CASE("a write is retried only when it was not run")
{
    retry::failed_sending failed = failed_read();
    failed.is_idempotent = false;
    CHECK(choose(failed) == retry::retry_kind::give_up);
    failed.outcome = verdict::not_run;
    CHECK(choose(failed) == retry::retry_kind::retry);
}

TEST_CASE("a keyed read that may have run is left to its home")
{
    retry::failed_sending failed = failed_read();
    failed.is_keyed = true;
    CHECK(choose(failed) == retry::retry_kind::give_up);
}

TEST_CASE("no retry without budget, time, or admission")
{
    retry::failed_sending failed = failed_read();
    failed.retries_left = 0;
    CHECK(choose(failed) == retry::retry_kind::give_up);
    failed = failed_read();
    failed.time_left = std::chrono::milliseconds(1);
    CHECK(choose(failed) == retry::retry_kind::give_up);
    failed = failed_read();
    failed.reason = refusal::shed_at_source;
    CHECK(choose(failed) == retry::retry_kind::give_up);
}

TEST_CASE("a leaving node's refusal costs no retry, a bounded number of times")
{
    retry::failed_sending failed = failed_read();
    failed.reason = refusal::draining;
    failed.outcome = verdict::not_run;
    failed.retries_left = 0;
    CHECK(choose(failed) == retry::retry_kind::redirect);
    failed.redirections_made = retry::max_redirections;
    CHECK(choose(failed) == retry::retry_kind::give_up);
}

TEST_CASE("retries of a node to one service stay a share of its requests")
{
    retry::state retries;
    random_source random(7);
    constexpr int requests = 1000;
    int made = 0;
    for (int index = 0; index < requests; ++index)
    {
        retry::note_request(retries, "rota-board");
        auto const decision = retry::decide(retries, failed_read(), random);
        made += decision.kind == retry::retry_kind::retry ? 1 : 0;
    }
    double const bound =
        requests * retry::tokens_per_request + retry::max_tokens;
    CHECK(made <= bound);
    CHECK(made > 0);
}

TEST_CASE("dividing and returning retries never makes any")
{
    for (std::uint32_t retries = 0; retries < 20; ++retries)
    {
        auto const split = retry::split_for_forward(retries);
        CHECK(split.kept + split.passed == retries);
        CHECK(retry::share_for_child(retries) <= retries);
        CHECK(retry::returned_budget(split.passed, retries + 5) <=
              split.passed);
    }
}
