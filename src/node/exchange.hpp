// The requests that a node has in hand, from arrival until they are answered
// and every sending for them has ended.
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
    // The home of the key has not decided yet.
    awaiting_claim,
    // Waits for the end of the execution of the same key.
    joined,
    queued,
    // An attempt is at a peer or at the upstream.
    attempting,
    // Waits for the time of the next retry.
    backing_off
};

// The attempt that an exchange has under way.
struct running_attempt
{
    attempt_id id;
    // Peer address; empty for the upstream beside this node.
    std::string peer;
    instant started{};
    // Retries handed down with it.
    std::uint32_t passed_retries = 0;
};

// Downstream calls that the upstream made while it ran the exchange.
struct downstream_calls
{
    std::uint32_t open = 0;
    instant open_since{};
    // Time with one or more calls open.
    duration waited{};
    // The worst that is known of the ended ones.
    verdict outcome = verdict::not_run;
    // True if one of them was refused or failed, whatever its level: a refusal
    // by the upstream after that is no sign of the upstream's own load.
    bool is_refused = false;
    // The highest level at which one of them was refused.
    std::uint32_t refused_level = 0;
};

// One request.
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
    // Until when an answer is worth most; the deadline without a route.
    instant target_deadline{};
    // When the exchange is looked at next; none while it is max.
    instant timer = instant::max();
    std::uint32_t retries_left = 0;
    std::uint32_t retries_made = 0;
    std::uint32_t redirections_made = 0;
    // Times that the own upstream refused it without running it.
    std::uint32_t upstream_refusals = 0;
    // True if an upstream was handed the request, whatever became of it.
    bool has_reached_upstream = false;
    // Executions so far, here and below.
    std::uint32_t executions = 0;
    // True if an earlier sending may have run.
    bool may_have_run = false;
    downstream_calls downstream;
    // The exchange whose execution made this downstream call.
    exchange_id parent;
    std::optional<running_attempt> current_attempt;
    // Addresses that refused or failed.
    std::vector<std::string> tried;
    // The home that another node named; empty: the presumed one.
    std::string key_home;
    // True while this node, as the key's home, answers for the execution.
    bool is_claimed = false;
    // Exchanges of the same key that wait for this one's end.
    std::vector<exchange_id> joiners;
    // True once the sender has its answer or is gone.
    bool is_answered = false;
};

// Exchanges by id, and the ways to find them.
struct exchange_table
{
    std::map<exchange_id, exchange> exchanges;
    std::map<attempt_id, exchange_id> by_attempt;
    // Exchanges that run at the own upstream, by trace id.
    std::multimap<std::string, exchange_id, std::less<>> by_trace;
    std::set<std::pair<instant, exchange_id>> timers;
};

// The exchange, or nullptr.
exchange* find(exchange_table& table, exchange_id id);

// The exchange that the attempt belongs to, or nullptr.
exchange* find(exchange_table& table, attempt_id id);

// Replaces the time at which the exchange is looked at next.
void set_timer(exchange_table& table, exchange& request, instant when);

void erase(exchange_table& table, exchange_id id);

// True for a request whose execution must happen at most once.
bool is_keyed(exchange const& request);

// True if the request may run more than once without harm.
bool is_repeatable(exchange const& request);

// True if this node chooses the member that serves the request and retries.
bool is_origin(exchange const& request);

} // namespace plantaintally::node
