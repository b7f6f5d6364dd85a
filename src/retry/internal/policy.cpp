#include "retry/policy.hpp"

#include <algorithm>

namespace plantaintally::retry
{

namespace
{

constexpr duration base_backoff = std::chrono::milliseconds(10);
constexpr duration max_backoff = std::chrono::milliseconds(500);
constexpr double backoff_jitter = 0.5;
// A request with less time left than this is not sent again.
constexpr duration min_useful_time = std::chrono::milliseconds(2);

token_bucket& bucket_of(state& retries, std::string_view service)
{
    auto const found = retries.buckets.find(service);
    if (found != retries.buckets.end())
    {
        return found->second;
    }
    token_bucket& added = retries.buckets[std::string(service)];
    added.tokens = retries.bucket_allowance.initial;
    added.capacity = retries.bucket_allowance.capacity;
    return added;
}

bool is_final(refusal reason)
{
    switch (reason)
    {
    case refusal::shed_at_source:
    case refusal::deadline_unreachable:
    case refusal::deadline_passed:
    case refusal::budget_exhausted:
    case refusal::key_history_unknown:
    case refusal::key_too_old:
    case refusal::key_home_fenced:
    case refusal::bad_request:
    case refusal::too_large:
    case refusal::caller_gone:
    case refusal::no_route:
        return true;
    default:
        return false;
    }
}

// A request that may have run is retried only if it is idempotent. For a
// request with an idempotency key, only the key's home node knows whether it
// may run again.
bool is_safe_to_retry(failed_attempt const& failed)
{
    if (failed.outcome == verdict::not_run)
    {
        return true;
    }
    return failed.is_idempotent && !failed.is_keyed;
}

duration draw_backoff(failed_attempt const& failed, random_source& random)
{
    std::uint32_t const doublings = std::min(failed.retries_made, 6U);
    duration const exponential = base_backoff * (1U << doublings);
    duration const wait =
        std::max(std::min(exponential, max_backoff), failed.retry_after);
    return draw_jittered(random, wait, backoff_jitter);
}

} // namespace

bool is_idempotent_method(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

void note_request(state& retries,
                  std::string_view service,
                  std::uint32_t urgency,
                  instant now)
{
    note_request(
        bucket_of(retries, service), retries.bucket_allowance, urgency, now);
}

retry_decision
decide(state& retries, failed_attempt const& failed, random_source& random)
{
    bool const can_redirect_now = failed.can_redirect &&
                                  failed.outcome == verdict::not_run &&
                                  failed.redirections_made < max_redirections;
    if (can_redirect_now && failed.time_left >= min_useful_time)
    {
        return retry_decision{retry_kind::redirect, duration::zero()};
    }
    if (failed.reason && is_final(*failed.reason))
    {
        return {};
    }
    if (!is_safe_to_retry(failed) || failed.time_left < min_useful_time)
    {
        return {};
    }
    bool const is_draining = failed.reason == refusal::draining &&
                             failed.outcome == verdict::not_run;
    if (is_draining && failed.redirections_made < max_redirections)
    {
        return retry_decision{retry_kind::redirect, duration::zero()};
    }
    if (failed.retries_left == 0)
    {
        return {};
    }
    duration const wait = draw_backoff(failed, random);
    if (wait + min_useful_time > failed.time_left)
    {
        return {};
    }
    if (!failed.is_retry_permitted &&
        !take_token(bucket_of(retries, failed.service), failed.urgency))
    {
        return {};
    }
    return retry_decision{retry_kind::retry, wait};
}

} // namespace plantaintally::retry
