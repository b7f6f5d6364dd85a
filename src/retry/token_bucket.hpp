// Bounds the retries of one node to one service to a share of its requests.
#pragma once

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

struct token_bucket
{
    double tokens = max_tokens;
};

// A request was sent for the first time.
void note_request(token_bucket& bucket, allowance const& allowed);

// Takes the token of one retry; false if there is none.
bool take_token(token_bucket& bucket);

} // namespace plantaintally::retry
