// The configuration in force at this node: reading it from the platform's
// key-value store ("the store"), gossiping it between nodes, and applying
// operators' changes.
#pragma once

#include "base/result.hpp"
#include "configuration/change.hpp"
#include "configuration/document.hpp"
#include "configuration/messages.hpp"
#include "configuration/state.hpp"
#include "messages/step.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace plantaintally::configuration
{

// The key of the document in the store.
inline constexpr std::string_view document_key = "plantaintally/configuration";

// The number of accepted changes recorded in the document.
inline constexpr std::size_t max_change_records = 512;

// The rank of requests that match no rule.
inline constexpr std::string_view default_rank_name = "default";

// The document in force before any operator's change: a single rank,
// "default", to which every request belongs.
document default_document();

// The document in force; its revision never decreases.
document const& current(state const& configuration);

// True once the node has the highest revision in the store or, while the store
// is down, the highest among its peers. No work is admitted before.
bool is_ready(state const& configuration);

// Time since the store last confirmed, to this node or to a peer that reported
// it, that the revision in force is the newest; empty if it never did.
std::optional<duration> confirmed_age(state const& configuration, instant now);

// The rank that the match rules assign to a request. If no rule matches, the
// rank "default" or, without one, the least urgent rank.
rank_definition const& classify(document const& content,
                                std::string_view service,
                                std::string_view method,
                                std::string_view path);

// The rank with this name, or nullptr.
rank_definition const* find_rank(document const& content,
                                 std::string_view name);

// Applies the change to a copy of the document, keeping its revision. Fails
// with errc::invalid_input and the reason if the change is not valid.
result<document> apply_change(document const& content, change const& requested);

// Writes an operator's change to the store by compare-and-swap. Answers the
// command, in this step or a later one, with one of these statuses:
// "ok": accepted; the message is "accepted as revision N", and the table has
// the columns "change" and "revision".
// "conflict": the same object was changed since the base revision.
// "refused": the change is invalid or could not be written.
// "unknown": the answer to the write was lost, and the outcome could not be
// determined in time. Submitting the same change again is safe.
void submit_change(state& configuration,
                   command_id command,
                   change const& requested,
                   step& current);

// Starts the initial read and, after a random delay, the first attempt to
// become a relay.
void start(state& configuration, step& current);
// Handles a control message of another node; `peers` are the addresses to
// gossip to.
void handle_message(state& configuration,
                    node_id const& sender,
                    message const& received,
                    std::span<std::string const> peers,
                    step& current);
// Handles the result of a call on the store.
void handle_store(state& configuration,
                  store_call_id call,
                  store_result const& result,
                  step& current);
// Runs all work that is due; `peers` are the addresses to gossip to.
void handle_time(state& configuration,
                 std::span<std::string const> peers,
                 step& current);
// Handles the revision that the peer at `address` reported in a heartbeat;
// requests the missing changes if it is higher than the one in force here.
void note_peer_revision(state& configuration,
                        std::string const& address,
                        std::uint64_t revision,
                        step& current);
// When handle_time has to run next; empty before start.
std::optional<instant> next_wakeup(state const& configuration);

} // namespace plantaintally::configuration
