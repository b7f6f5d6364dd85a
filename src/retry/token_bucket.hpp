// Token bucket that limits the retries of one node to one service to a fraction
// of its requests.
#pragma once

#include "base/moment.hpp"

#include <cstddef>
#include <cstdint>

namespace plantaintally::retry
{

// Default number of tokens gained by the first attempt of each request: the
// maximum long-run ratio of retries to requests.
inline constexpr double tokens_per_request = 0.1;
// Default capacity and initial content of a bucket.
inline constexpr double max_tokens = 10.0;

// Parameters of a token bucket, in tokens.
struct allowance
{
    // Gained by the first attempt of each request.
    double per_request = tokens_per_request;
    // Minimum capacity; see token_bucket::capacity.
    double capacity = max_tokens;
    // Initial content of a new bucket.
    double initial = max_tokens;
};

// Number of retries that the whole fleet may send to a service per time window.
struct fleet_budget
{
    // Retries as a fraction of the service's requests.
    double ratio = 0;
    // Retries in addition to that fraction. If zero, there is no fleet-wide
    // budget.
    double extra_retries = 0;
};

// Retry allowance of one node in a fleet of `nodes` nodes, which together use
// half of the fleet's budget. A quarter of the budget is used for permits, and
// a quarter is left for the downstream calls of retried requests, which count
// as retries too.
allowance node_allowance(fleet_budget const& budget, std::size_t nodes);

// Allowance for the retries that the node beside an upstream permits to
// senders, in proportion to the requests that its upstream receives. Each
// sender has only a few of the service's requests and can't know their total
// number, whereas this node sees all requests to its upstream.
allowance permit_allowance(fleet_budget const& budget);

struct token_bucket
{
    double tokens = max_tokens;
    // Maximum number of tokens: the capacity of the allowance, or the number of
    // tokens gained by the requests of about the last second if that is larger.
    double capacity = max_tokens;
    // Exponentially decaying count of the requests of about the last second.
    double recent_requests = 0;
    instant updated_at{};
    // Highest urgency among the requests of the last seconds.
    std::uint32_t top_urgency = 0;
    instant top_seen_at{};
};

// Records the first attempt of a request, and adds the tokens that it gains.
void note_request(token_bucket& bucket,
                  allowance const& allowed,
                  std::uint32_t urgency,
                  instant now);

// Takes the token for one retry; false if none is left, or if the remaining
// ones are reserved for more urgent requests.
bool take_token(token_bucket& bucket, std::uint32_t urgency);

// Takes a permit to retry a request that the upstream refused; false if none is
// left, or if more urgent requests were seen in the last seconds.
bool take_permit(token_bucket& bucket, std::uint32_t urgency);

} // namespace plantaintally::retry
