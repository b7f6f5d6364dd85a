#include "retry/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace plantaintally::retry
{

namespace
{

// Fraction of the fleet's budget for retries by senders, and fraction of its
// ratio for the permits of the nodes beside the upstreams.
constexpr double retry_budget_fraction = 0.5;
constexpr double permit_budget_fraction = 0.25;
// Every bucket can hold at least one whole token.
constexpr double min_capacity = 1.0;
// Fraction of a bucket that is reserved for the most urgent requests.
constexpr double reserved_fraction = 0.5;
// Time constant of the request count that determines a bucket's capacity: a
// tenth of the window for which the fleet's budget is defined.
constexpr duration request_decay_time = std::chrono::seconds(1);
// Tokens are no longer reserved for an urgency that was not seen for this long.
constexpr duration top_urgency_lifetime = std::chrono::seconds(10);

void count_request(token_bucket& bucket, instant now)
{
    double const age = static_cast<double>((now - bucket.updated_at).count()) /
                       static_cast<double>(request_decay_time.count());
    bucket.recent_requests *= std::exp(-std::max(age, 0.0));
    bucket.recent_requests += 1;
    bucket.updated_at = now;
}

void note_urgency(token_bucket& bucket, std::uint32_t urgency, instant now)
{
    bool const is_expired = now > bucket.top_seen_at + top_urgency_lifetime;
    if (urgency < bucket.top_urgency && !is_expired)
    {
        return;
    }
    bucket.top_urgency = urgency;
    bucket.top_seen_at = now;
}

// Number of tokens that a request of this urgency must leave in the bucket.
double reserved_tokens(token_bucket const& bucket, std::uint32_t urgency)
{
    if (urgency >= bucket.top_urgency)
    {
        return 0;
    }
    return std::min(reserved_fraction * bucket.capacity,
                    bucket.capacity - min_capacity);
}

} // namespace

allowance node_allowance(fleet_budget const& budget, std::size_t nodes)
{
    auto const node_count =
        static_cast<double>(std::max<std::size_t>(nodes, 1));
    return {retry_budget_fraction * budget.ratio,
            std::max(min_capacity,
                     retry_budget_fraction * budget.extra_retries / node_count),
            min_capacity};
}

allowance permit_allowance(fleet_budget const& budget)
{
    return {permit_budget_fraction * budget.ratio, min_capacity, min_capacity};
}

void note_request(token_bucket& bucket,
                  allowance const& allowed,
                  std::uint32_t urgency,
                  instant now)
{
    count_request(bucket, now);
    note_urgency(bucket, urgency, now);
    bucket.capacity = std::max(allowed.capacity,
                               allowed.per_request * bucket.recent_requests);
    bucket.tokens =
        std::min(bucket.capacity, bucket.tokens + allowed.per_request);
}

bool take_token(token_bucket& bucket, std::uint32_t urgency)
{
    if (bucket.tokens < 1.0 + reserved_tokens(bucket, urgency))
    {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

bool take_permit(token_bucket& bucket, std::uint32_t urgency)
{
    return urgency >= bucket.top_urgency && take_token(bucket, urgency);
}

} // namespace plantaintally::retry
