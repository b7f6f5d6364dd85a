#include "retry/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace plantaintally::retry
{

namespace
{

// Part of the fleet's budget that senders may use, and the part of its ratio
// that the nodes beside the upstreams hand out.
constexpr double used_share = 0.5;
constexpr double permit_share = 0.25;
// A node can always keep one whole repeat.
constexpr double least_kept = 1.0;
// Part of a bucket that only the most urgent requests may use.
constexpr double reserved_share = 0.5;
// Time over which requests are counted for what a bucket may hold: a tenth of
// the window in which the fleet's budget is judged.
constexpr duration request_memory = std::chrono::seconds(1);
// Requests of an urgency that has not been seen for this long keep nothing.
constexpr duration urgency_memory = std::chrono::seconds(10);

void count_request(token_bucket& bucket, instant now)
{
    double const age = static_cast<double>((now - bucket.updated_at).count()) /
                       static_cast<double>(request_memory.count());
    bucket.recent_requests *= std::exp(-std::max(age, 0.0));
    bucket.recent_requests += 1;
    bucket.updated_at = now;
}

void note_urgency(token_bucket& bucket, std::uint32_t urgency, instant now)
{
    bool const is_forgotten = now > bucket.top_seen_at + urgency_memory;
    if (urgency < bucket.top_urgency && !is_forgotten)
    {
        return;
    }
    bucket.top_urgency = urgency;
    bucket.top_seen_at = now;
}

// Tokens that a request of this urgency has to leave in the bucket.
double reserved_tokens(token_bucket const& bucket, std::uint32_t urgency)
{
    if (urgency >= bucket.top_urgency)
    {
        return 0;
    }
    return std::min(reserved_share * bucket.most, bucket.most - least_kept);
}

} // namespace

allowance node_allowance(fleet_budget const& budget, std::size_t nodes)
{
    auto const sharers = static_cast<double>(std::max<std::size_t>(nodes, 1));
    return {used_share * budget.ratio,
            std::max(least_kept, used_share * budget.extra_retries / sharers),
            least_kept};
}

allowance permit_allowance(fleet_budget const& budget)
{
    return {permit_share * budget.ratio, least_kept, least_kept};
}

void note_request(token_bucket& bucket,
                  allowance const& allowed,
                  std::uint32_t urgency,
                  instant now)
{
    count_request(bucket, now);
    note_urgency(bucket, urgency, now);
    bucket.most =
        std::max(allowed.most, allowed.per_request * bucket.recent_requests);
    bucket.tokens = std::min(bucket.most, bucket.tokens + allowed.per_request);
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
