// Whether a request that failed at one node is sent again.
#pragma once

#include "base/moment.hpp"
#include "base/random.hpp"
#include "base/verdict.hpp"
#include "retry/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace plantaintally::retry
{

// A sending that brought no upstream's answer, as its sender sees it.
struct failed_attempt
{
    std::string_view service;
    std::uint32_t urgency = 0;
    verdict outcome = verdict::may_have_run;
    std::optional<refusal> reason;
    bool is_idempotent = false;
    bool is_keyed = false;
    // True if a node refused before any upstream was handed the request, and
    // another member may still be tried in time.
    bool can_redirect = false;
    // True if the node that refused it lets it be repeated.
    bool is_retry_permitted = false;
    // Retries left in the request's budget.
    std::uint32_t retries_left = 0;
    // Retries and free redirections made so far.
    std::uint32_t retries_made = 0;
    std::uint32_t redirections_made = 0;
    duration time_left{};
    // Time that the refusing node asks to wait.
    duration retry_after{};
};

enum class retry_kind
{
    give_up,
    // Send again and take one retry from the budget.
    retry,
    // Send again at once without a cost: the refusing node was leaving and
    // nothing was run.
    redirect
};

struct retry_decision
{
    retry_kind kind = retry_kind::give_up;
    duration wait{};
};

// Free redirections of one request, so that a chain of wrong views ends.
inline constexpr std::uint32_t max_redirections = 3;

// Token buckets of this node by service.
struct state
{
    allowance own;
    std::map<std::string, token_bucket, std::less<>> buckets;
};

// True for the methods that are safe to execute twice (RFC 9110, 9.2.1).
bool is_idempotent_method(std::string_view method);

// A request was sent to the service for the first time.
void note_request(state& retries,
                  std::string_view service,
                  std::uint32_t urgency,
                  instant now);

// Decides, and takes the bucket's token if the answer is to retry.
retry_decision
decide(state& retries, failed_attempt const& failed, random_source& random);

} // namespace plantaintally::retry
