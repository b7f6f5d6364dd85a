// Bounds the retries of one node to one service to a share of its requests.
#pragma once

#include <cstddef>

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
    double extra = 0;
};

// A node's part of the fleet's budget, if there are this many nodes. Half of
// the budget is left for the calls that repeated requests make, which count
// too.
allowance node_allowance(fleet_budget const& budget, std::size_t nodes);

struct token_bucket
{
    double tokens = max_tokens;
};

// A request was sent for the first time.
void note_request(token_bucket& bucket, allowance const& allowed);

// Takes the token of one retry; false if there is none.
bool take_token(token_bucket& bucket);

} // namespace plantaintally::retry
