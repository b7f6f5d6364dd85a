// Decides whether a request whose attempt failed is sent again.
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

// An attempt that ended without an answer of an upstream, as its sender sees
// it.
struct failed_attempt
{
    std::string_view service;
    std::uint32_t urgency = 0;
    verdict outcome = verdict::may_have_run;
    // Reason given by the node that refused the request, if one did.
    std::optional<refusal> reason;
    bool is_idempotent = false;
    // True if the request carries an idempotency key.
    bool is_keyed = false;
    // True if the request was refused before it reached any upstream, and there
    // is time to try another member.
    bool can_redirect = false;
    // True if the node that refused the request granted a permit to retry it.
    bool is_retry_permitted = false;
    // Retries left in the request's budget.
    std::uint32_t retries_left = 0;
    // Retries and redirections made so far.
    std::uint32_t retries_made = 0;
    std::uint32_t redirections_made = 0;
    duration time_left{};
    // Delay before a retry that the refusing node asked for.
    duration retry_after{};
};

enum class retry_kind
{
    give_up,
    // Send again after `wait`, at the cost of one retry of the budget.
    retry,
    // Send to another member at once, without taking a retry from the budget:
    // the request was not run, because the refusing node is draining or did not
    // hand it to an upstream.
    redirect
};

struct retry_decision
{
    retry_kind kind = retry_kind::give_up;
    duration wait{};
};

// Maximum number of redirections of one request. Bounds the redirections
// between nodes with outdated views of the membership.
inline constexpr std::uint32_t max_redirections = 3;

struct state
{
    allowance bucket_allowance;
    // By service.
    std::map<std::string, token_bucket, std::less<>> buckets;
};

// True for the HTTP methods that are safe to execute twice (RFC 9110, 9.2.1).
bool is_idempotent_method(std::string_view method);

// Records the first attempt of a request to the service.
void note_request(state& retries,
                  std::string_view service,
                  std::uint32_t urgency,
                  instant now);

// Decides how to continue after a failed attempt. Takes a token from the
// service's bucket if the decision is to retry without a permit.
retry_decision
decide(state& retries, failed_attempt const& failed, random_source& random);

} // namespace plantaintally::retry
