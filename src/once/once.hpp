// At most one execution of each keyed request, also when callers repeat it
// through other nodes: epochs of homes, vouches, and the record of keys.
#pragma once

#include "base/verdict.hpp"
#include "membership/messages.hpp"
#include "messages/step.hpp"
#include "once/epoch.hpp"
#include "once/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace plantaintally::once
{

// Fixed times of the protocol; see docs/AT-MOST-ONCE.md for the assumptions.
struct options
{
    node_id self;
    std::string availability_zone;
    // A vouch counts this long, from when it was asked for.
    duration vouch_lifetime = std::chrono::seconds(3);
    // Bound on how much two monotonic clocks drift apart over that time, and
    // on how much two wall clocks differ.
    duration drift_margin = std::chrono::milliseconds(300);
    duration wall_clock_skew = std::chrono::milliseconds(500);
    // A key is remembered this long; older time-ordered keys are refused.
    duration retry_horizon = std::chrono::minutes(10);
    // Keys that this home holds at most; beyond it new keys are refused.
    std::uint32_t key_limit = 200'000;
    // Cells that a service's keys are divided into. Equal at every node of the
    // service; it may only change while none of the service's nodes runs.
    std::uint32_t cell_count = 1;
    // Members must stay as they are this long before a new epoch is proposed.
    duration change_delay = std::chrono::seconds(1);
    // Shortest time between two proposals of this node for the same cell.
    duration change_spacing = std::chrono::seconds(7);
    // How long a new home waits for what the previous homes know of a key.
    duration question_timeout = std::chrono::milliseconds(500);
    // Longest wait for the platform's store.
    duration store_timeout = std::chrono::seconds(2);
};

// A keyed request that reached its presumed home.
struct claim_request
{
    exchange_id exchange;
    std::string service;
    std::string key;
};

// The key is recorded and the request shall be executed, once.
struct run_now
{
};
// An execution of the same key is running: the exchange gets its answer.
struct join_running
{
    exchange_id running;
};
// The key is finished: the exchange gets the recorded answer of this attempt.
struct replay_answer
{
    attempt_id attempt;
    hop_report report;
};
// The key is refused; the verdict says whether it may have run before.
struct refuse_key
{
    verdict outcome = verdict::may_have_run;
    refusal reason = refusal::key_history_unknown;
    duration retry_after{};
};
// Another node is the home in the newest epoch known here.
struct redirect_claim
{
    std::string address;
};
// The decision comes later, by take_resolved_claims.
struct decide_later
{
};

using claim_decision = std::variant<run_now,
                                    join_running,
                                    replay_answer,
                                    refuse_key,
                                    redirect_claim,
                                    decide_later>;

struct resolved_claim
{
    exchange_id exchange;
    claim_decision decision;
};

// How the execution of a recorded key ended.
struct key_outcome
{
    verdict outcome = verdict::may_have_run;
    // The attempt whose answer is kept; zero if there is none.
    attempt_id attempt;
    hop_report report;
};

// What this home knows of a key that it has accepted or been handed.
struct key_record
{
    std::string cell;
    // The exchange whose execution was allowed.
    exchange_id running;
    // Set once that execution has ended.
    std::optional<key_outcome> outcome;
    // When the record may be forgotten; set once the execution has ended.
    instant expires_at{};
};

// When to look whether a record has expired.
struct key_expiry
{
    instant at{};
    std::string key;
};

// Claims of one key that wait for what the homes of earlier epochs know.
struct pending_key
{
    std::string cell;
    std::vector<claim_request> claims;
    // Epochs whose home has not answered yet.
    std::set<std::uint64_t> unanswered;
    // The lowest epoch known, whose home has to know the time before, too.
    std::uint64_t lowest_epoch = 0;
    // The epoch since which this node is the key's home.
    std::uint64_t home_since = 0;
    // True once every home has answered that it never saw the key.
    bool is_history_known = false;
    // The previous home that has the key in its record.
    std::string recorded_at;
    // When the claims are decided with what is known by then.
    instant deadline{};
};

// Parts of a hand-over that have come from a leaving home.
struct received_transfer
{
    std::uint32_t parts = 0;
    std::set<std::uint32_t> received;
    wall_time known_since{};
};

// A part of a hand-over whose receipt is not confirmed yet.
struct unconfirmed_transfer
{
    std::string address;
    key_transfer content;
};

// Names the hand-over of one home.
struct transfer_source
{
    std::string cell;
    std::uint64_t epoch = 0;
    node_id sender;

    auto operator<=>(transfer_source const&) const = default;
};

// State of the protocol at this node; owned by the node's state.
struct state
{
    options own;
    instant started_at{};
    std::string service;
    // Members of this node's service that are not gone, in order of address.
    std::vector<membership::member_record> members;
    // Cells of this node's service, by name.
    std::map<std::string, cell_state, std::less<>> cells;
    // As a voucher: the epoch below which this node never vouches, by cell.
    std::map<std::string, std::uint64_t, std::less<>> vouched_epochs;
    std::map<std::string, key_record, std::less<>> keys;
    // In order of time.
    std::deque<key_expiry> expiries;
    // The key that each running execution belongs to.
    std::map<exchange_id, std::string> running;
    std::map<std::string, pending_key, std::less<>> pending;
    std::map<transfer_source, received_transfer> received;
    bool is_leaving = false;
    bool is_transfer_started = false;
    std::vector<unconfirmed_transfer> unconfirmed;
    std::optional<instant> transfer_at;
};

void start(state& once, step& current);

// Decides what becomes of a keyed request. The request's bytes have been read
// before `current.now` was.
claim_decision
claim_key(state& once, claim_request const& request, step& current);

// The execution that run_now allowed has ended. A key that was not run may be
// claimed again; every other outcome is kept for the retry horizon. Exchanges
// that joined are answered by the caller of this function.
void finish_key(state& once,
                exchange_id running,
                key_outcome const& outcome,
                step& current);

// Claims that were put off and can be decided now.
std::vector<resolved_claim> take_resolved_claims(state& once, step& current);

// The members of this node's own service have changed; `fleet` are nodes that
// can vouch, of every service.
void handle_members(state& once,
                    std::string_view service,
                    std::span<membership::member_record const> members,
                    std::span<membership::member_record const> fleet,
                    step& current);
void handle_message(state& once,
                    node_id const& sender,
                    message const& received,
                    step& current);
void handle_store(state& once,
                  store_call_id call,
                  store_result const& result,
                  step& current);
void handle_time(state& once, step& current);
std::optional<instant> next_deadline(state const& once);

// True if nothing is left that this node has to answer for: its keys are
// handed over or have passed their horizon; a planned stop waits for it.
bool is_handed_over(state const& once);
// Starts handing this node's keys over to the next epoch's homes.
void hand_over(state& once, step& current);

// The address of the home that a node which doesn't know the epoch presumes:
// the member with the highest rendezvous weight for the key, among those of
// the key's cell that take new work. Empty if there are none.
std::string presumed_home(std::span<membership::member_record const> members,
                          std::string_view key,
                          std::uint32_t cell_count = 1);

} // namespace plantaintally::once
