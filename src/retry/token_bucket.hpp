// Bounds the retries of one node to one service to a share of its requests.
#pragma once

#include "base/moment.hpp"

#include <cstddef>
#include <cstdint>

namespace plantaintally::retry
{

// Tokens gained by each first sending of a request; the long-run share of
// retries among the sendings to a service.
inline constexpr double tokens_per_request = 0.1;
// Most tokens that a bucket holds, and what a new one holds.
inline constexpr double max_tokens = 10.0;

// How the tokens of a node come and how many it keeps.
struct allowance
{
    double per_request = tokens_per_request;
    double most = max_tokens;
    // What a new bucket holds.
    double initial = max_tokens;
};

// The repeats that a whole fleet may send to a service in a window.
struct fleet_budget
{
    // Share of the service's requests.
    double ratio = 0;
    // Repeats beyond the share; zero: there is no budget of the fleet's.
    double extra_retries = 0;
};

// A node's part of the fleet's budget, if there are this many nodes: half of
// the budget. A quarter goes to permits, and a quarter is left for the calls
// that repeated requests make, which count too.
allowance node_allowance(fleet_budget const& budget, std::size_t nodes);

// What the node beside an upstream may let senders repeat: a part of the share
// that the requests to its upstream earn. Senders have few requests each and
// can't know how many the whole service gets; this node sees them.
allowance permit_allowance(fleet_budget const& budget);

struct token_bucket
{
    double tokens = max_tokens;
    // Tokens that it holds at most: those of the allowance, or what the
    // requests of about the last second have gained.
    double most = max_tokens;
    // Requests of about the last second; older ones count less.
    double recent_requests = 0;
    instant updated_at{};
    // The most urgent requests of the last seconds.
    std::uint32_t top_urgency = 0;
    instant top_seen_at{};
};

// A request was sent for the first time.
void note_request(token_bucket& bucket,
                  allowance const& allowed,
                  std::uint32_t urgency,
                  instant now);

// Takes the token of one retry; false if there is none, or if what is left is
// kept for more urgent requests.
bool take_token(token_bucket& bucket, std::uint32_t urgency);

// Takes the permit to repeat a request that the upstream refused; only the most
// urgent requests get one.
bool take_permit(token_bucket& bucket, std::uint32_t urgency);

} // namespace plantaintally::retry
