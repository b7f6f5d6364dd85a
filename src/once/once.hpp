// The at-most-once protocol: a request with an idempotency key is executed at
// most once, even if the caller retries it through other nodes. See epoch.hpp
// for the terms and docs/AT-MOST-ONCE.md for the protocol and its assumptions.
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

// Parameters of the protocol. docs/AT-MOST-ONCE.md states the assumptions
// behind the times.
struct options
{
    node_id self;
    std::string availability_zone;
    // How long a vouch is valid, counted from its request.
    duration vouch_lifetime = std::chrono::seconds(3);
    // Upper bound on the drift between two monotonic clocks during that time.
    duration drift_margin = std::chrono::milliseconds(300);
    // Upper bound on the difference between two wall clocks.
    duration wall_clock_skew = std::chrono::milliseconds(500);
    // How long a caller may retry a request with the same key. The key's record
    // is kept at least this long after the execution has ended; older
    // time-ordered keys are refused.
    duration retry_horizon = std::chrono::minutes(10);
    // Maximum number of keys recorded here, and of undecided keys; beyond it
    // new keys are refused.
    std::uint32_t key_limit = 200'000;
    // Number of cells of a service. Must be equal at every node of the service,
    // and may only be changed while none of these nodes runs.
    std::uint32_t cell_count = 1;
    // How long the membership must stay unchanged before a new epoch is
    // proposed.
    duration proposal_delay = std::chrono::seconds(1);
    // Minimum time between two proposals of this node for the same cell.
    duration min_proposal_interval = std::chrono::seconds(7);
    // How long a new home waits for the answers of previous homes about a key.
    duration question_timeout = std::chrono::milliseconds(500);
    // Timeout of a call to the platform's key-value store.
    duration store_timeout = std::chrono::seconds(2);
};

// A request with an idempotency key that has arrived at its presumed home.
struct claim_request
{
    exchange_id exchange;
    std::string service;
    std::string key;
};

// The key is recorded. The receiver of this decision must execute the request
// once and report the outcome with finish_key.
struct run_now
{
};
// Another exchange is executing the key: this one gets the answer of `running`.
struct join_running
{
    exchange_id running;
};
// The key has been executed: the exchange gets the recorded answer of
// `attempt`.
struct replay_answer
{
    attempt_id attempt;
    hop_report report;
};
// The key is refused; `outcome` tells whether it may have been executed before.
struct refuse_key
{
    verdict outcome = verdict::may_have_run;
    refusal reason = refusal::key_history_unknown;
    duration retry_after{};
};
// The node at `address` is the home in the newest epoch known here, or has the
// key in its record.
struct redirect_claim
{
    std::string address;
};
// Homes of earlier epochs are being asked; take_resolved_claims returns the
// decision later.
struct decide_later
{
};

using claim_decision = std::variant<run_now,
                                    join_running,
                                    replay_answer,
                                    refuse_key,
                                    redirect_claim,
                                    decide_later>;

// A claim whose decision was deferred, and that decision.
struct resolved_claim
{
    exchange_id exchange;
    claim_decision decision;
};

// The outcome of executing a recorded key.
struct key_outcome
{
    verdict outcome = verdict::may_have_run;
    // The attempt whose answer is retained; zero if there is none.
    attempt_id attempt;
    hop_report report;
};

// Record of a key that this home has accepted or that a leaving home has handed
// over to it.
struct key_record
{
    std::string cell;
    // The exchange that executes the request.
    exchange_id exchange;
    // Set once that execution has ended.
    std::optional<key_outcome> outcome;
    // When the record is removed; set once the execution has ended.
    instant expires_at{};
};

// When to check whether the record of a key has expired.
struct key_expiry
{
    instant at{};
    std::string key;
};

// Claims of one key whose decision waits for answers of the homes of earlier
// epochs.
struct pending_key
{
    std::string cell;
    std::vector<claim_request> claims;
    // Epochs whose home has not answered yet.
    std::set<std::uint64_t> unanswered_epochs;
    // The lowest epoch known here; the answer of its home must also cover all
    // epochs before it.
    std::uint64_t lowest_epoch = 0;
    // The epoch since which this node has been the key's home without a break.
    std::uint64_t home_since_epoch = 0;
    // True once every home asked has answered that it has never seen the key.
    bool is_confirmed_unseen = false;
    // The address of a previous home that has recorded the key; empty if none
    // has answered so.
    std::string recording_home;
    // When the claims are decided, whether or not all homes have answered.
    instant deadline{};
};

// Progress of receiving the key_transfer parts of a leaving home.
struct received_transfer
{
    std::uint32_t parts = 0;
    std::set<std::uint32_t> received_parts;
    wall_time known_since{};
};

// A part of a hand-over that the receiver has not acknowledged yet.
struct unacknowledged_part
{
    std::string address;
    key_transfer content;
};

// Identifies the hand-over of one home.
struct transfer_source
{
    std::string cell;
    std::uint64_t epoch = 0;
    node_id sender;

    auto operator<=>(transfer_source const&) const = default;
};

// State of the protocol at this node; a member of the node's state.
struct state
{
    options startup_options;
    instant started_at{};
    std::string service;
    // Members of this node's service that are not gone, ordered by address.
    std::vector<membership::member_record> members;
    // Cells of this node's service, by name.
    std::map<std::string, cell_state, std::less<>> cells;
    // As a voucher, by cell: the epoch below which this node never vouches
    // again.
    std::map<std::string, std::uint64_t, std::less<>> promised_epochs;
    std::map<std::string, key_record, std::less<>> keys;
    // Ordered by time.
    std::deque<key_expiry> expiries;
    // The key of each running execution.
    std::map<exchange_id, std::string> running_keys;
    std::map<std::string, pending_key, std::less<>> pending_keys;
    std::map<transfer_source, received_transfer> received_transfers;
    bool is_leaving = false;
    bool is_transfer_started = false;
    std::vector<unacknowledged_part> unacknowledged_parts;
    // When to start the hand-over if possible, or to resend unacknowledged
    // parts.
    std::optional<instant> next_transfer_at;
};

void start(state& once, step& current);

// Decides whether a request with an idempotency key is executed. `current.now`
// must have been read from the clocks after the request was received.
claim_decision
claim_key(state& once, claim_request const& request, step& current);

// Records the outcome of an execution that run_now has started. If the request
// was not executed, its key may be claimed again; any other outcome is kept for
// the retry horizon. The caller of this function has to answer the exchanges
// that joined this one.
void finish_key(state& once,
                exchange_id running,
                key_outcome const& outcome,
                step& current);

// Removes and returns the deferred claims that are decided by now.
std::vector<resolved_claim> take_resolved_claims(state& once, step& current);

// Updates the cells after a change of membership. `members` are those of this
// node's own service; `fleet` are the nodes of all services, which can vouch.
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
std::optional<instant> next_wakeup(state const& once);

// Whether a planned stop may proceed: no execution is running, and the recorded
// keys are handed over or expired, or no member is left to take them over.
bool is_handed_over(state const& once);
// Starts to hand this node's keys over to their homes in the next epoch. From
// then on no new key is accepted here.
void hand_over(state& once, step& current);

// The address of the likely home of a key, for nodes that don't know the cell's
// epochs: of the members that the key's cell should have, the one with the
// highest rendezvous weight for the key. Empty if there are none.
std::string presumed_home(std::span<membership::member_record const> members,
                          std::string_view key,
                          std::uint32_t cell_count = 1);

} // namespace plantaintally::once
