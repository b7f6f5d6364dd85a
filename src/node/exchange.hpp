// The requests that a node is processing, from arrival until they are answered
// and their last attempt has ended.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "base/verdict.hpp"
#include "messages/request_types.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantaintally::node
{

enum class exchange_phase
{
    arrived,
    // The home of the idempotency key has not decided yet whether to execute
    // it.
    awaiting_claim,
    // Waits for the execution of another request with the same key.
    joined,
    queued,
    // An attempt is in progress at a peer or at the upstream.
    attempting,
    // Waits for the backoff before the next retry.
    backing_off
};

// An attempt in progress.
struct running_attempt
{
    attempt_id id;
    // Peer address; empty for the local upstream.
    std::string peer;
    instant started{};
    // Retries that the peer was allowed to spend.
    std::uint32_t passed_retries = 0;
};

// Downstream calls that the upstream makes while it executes a request.
struct downstream_calls
{
    std::uint32_t open = 0;
    instant open_since{};
    // Total time during which at least one call was open.
    duration waited{};
    // The worst verdict of the completed calls.
    verdict outcome = verdict::not_run;
    // True if one of them was refused or failed, whatever its admission level.
    // If the upstream then refuses the request, that does not indicate that the
    // upstream itself is overloaded.
    bool is_refused = false;
    // The highest admission level at which one of them was refused.
    std::uint32_t refused_level = 0;
};

// One request and its state at this node.
struct exchange
{
    exchange_id id;
    request_source source = request_source::caller;
    request_head head;
    hop_context hop;
    std::uint32_t worth = 1;
    bool is_protected = false;
    exchange_phase phase = exchange_phase::arrived;
    instant arrived_at{};
    instant deadline{};
    // Until this time an answer has its full worth; equals `deadline` for a
    // request without a route.
    instant target_deadline{};
    // When the exchange's timer fires; `instant::max()` if none is set.
    instant timer = instant::max();
    std::uint32_t retries_left = 0;
    std::uint32_t retries_made = 0;
    std::uint32_t redirections_made = 0;
    // Number of times that the local upstream refused the request without
    // executing it.
    std::uint32_t upstream_refusals = 0;
    // True once the gate for new work has let the request in.
    bool has_entered = false;
    // True if the request was sent to an upstream, whatever the result.
    bool has_reached_upstream = false;
    // Executions so far, at this node and downstream.
    std::uint32_t executions = 0;
    // True if an earlier attempt may have been executed.
    bool may_have_run = false;
    downstream_calls downstream;
    // The exchange whose execution issued this downstream call.
    exchange_id parent;
    std::optional<running_attempt> current_attempt;
    // Addresses of the nodes that refused the request or failed.
    std::vector<std::string> tried;
    // The key's home according to another node; if empty, the home is computed
    // from the known members.
    std::string key_home;
    // True while this node, as the home of the key, is responsible for its
    // execution.
    bool is_claimed = false;
    // Exchanges with the same key that wait for the result of this one.
    std::vector<exchange_id> joiners;
    // True once the sender has been answered or has disconnected.
    bool is_answered = false;
};

// Exchanges by id, with indexes by attempt, trace id and timer.
struct exchange_table
{
    std::map<exchange_id, exchange> exchanges;
    std::map<attempt_id, exchange_id> by_attempt;
    // Exchanges being executed at the local upstream, by trace id.
    std::multimap<std::string, exchange_id, std::less<>> by_trace;
    std::set<std::pair<instant, exchange_id>> timers;
};

// Returns the exchange, or nullptr if there is none.
exchange* find(exchange_table& table, exchange_id id);

// Returns the exchange that the attempt belongs to, or nullptr if there is
// none.
exchange* find(exchange_table& table, attempt_id id);

// Sets when the timer of the exchange fires; `instant::max()` cancels it.
void set_timer(exchange_table& table, exchange& request, instant when);

void erase(exchange_table& table, exchange_id id);

// True if the request has an idempotency key and must be executed at most once.
bool is_keyed(exchange const& request);

// True if it is safe to execute the request more than once.
bool is_repeatable(exchange const& request);

// True for a call that the local upstream makes while it executes a request,
// where the route table and not a parent's trace id determines its terms.
bool is_upstream_call(exchange const& request);

// True if the request came from a caller or from the local upstream: this node
// selects the member that serves it, and makes the retries.
bool is_origin(exchange const& request);

} // namespace plantaintally::node
