#include "retry/token_bucket.hpp"

#include <algorithm>

namespace plantaintally::retry
{

namespace
{

// Part of the fleet's budget that first repeats may use.
constexpr double used_share = 0.5;
// A node can always keep one whole repeat.
constexpr double least_kept = 1.0;

} // namespace

allowance node_allowance(fleet_budget const& budget, std::size_t nodes)
{
    auto const sharers = static_cast<double>(std::max<std::size_t>(nodes, 1));
    return {used_share * budget.ratio,
            std::max(least_kept, used_share * budget.extra / sharers),
            least_kept};
}

void note_request(token_bucket& bucket, allowance const& allowed)
{
    bucket.tokens = std::min(allowed.most, bucket.tokens + allowed.per_request);
}

bool take_token(token_bucket& bucket)
{
    if (bucket.tokens < 1.0)
    {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

} // namespace plantaintally::retry
