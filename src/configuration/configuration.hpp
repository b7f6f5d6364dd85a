// The configuration in force at this node: how it is read from the platform's
// service, spread between nodes, and changed by operators.
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

// The key of the document at the platform's service.
inline constexpr std::string_view document_key = "plantaintally/configuration";

// The number of accepted changes that the document remembers.
inline constexpr std::size_t max_change_records = 512;

// The rank of requests that no match rule names.
inline constexpr std::string_view default_rank_name = "default";

// The document that holds before an operator has made any change: one rank,
// "default", that every request belongs to.
document default_document();

// The document in force; its revision never decreases.
document const& current(state const& configuration);

// True once the node knows the highest revision of the platform's service or,
// while that is down, of its peers; no work is admitted before.
bool is_ready(state const& configuration);

// Time since the platform's service last confirmed that the revision in force
// is the newest, as far as this node knows; nothing if it never did.
std::optional<duration> confirmed_age(state const& configuration, instant now);

// The rank of a request by the match rules; the rank named "default", or the
// least urgent one, if no rule matches.
rank_definition const& classify(document const& content,
                                std::string_view service,
                                std::string_view method,
                                std::string_view path);

// The rank of this name, or nullptr.
rank_definition const* find_rank(document const& content,
                                 std::string_view name);

// The document after the change, with its revision unchanged, or why the
// change is refused.
result<document> apply_change(document const& content, change const& requested);

// Applies an operator's change by compare-and-swap. Answers the command, now or
// in a later step, with status "ok" ("accepted as revision N"), "conflict" (a
// change of the same object came first), "refused" (invalid, or not made) or
// "unknown" (the write's answer was lost and could not be found out in time;
// submitting the same change again is safe). The table of an "ok" has the
// columns "change" and "revision".
void submit_change(state& configuration,
                   command_id command,
                   change const& requested,
                   step& current);

void start(state& configuration, step& current);
void handle_message(state& configuration,
                    node_id const& sender,
                    message const& received,
                    std::span<std::string const> peers,
                    step& current);
void handle_store(state& configuration,
                  store_call_id call,
                  store_result const& result,
                  step& current);
// Does what is due by now; `peers` are the addresses that gossip may go to.
void handle_time(state& configuration,
                 std::span<std::string const> peers,
                 step& current);
// A heartbeat of this node tells the revision that it has in force.
void note_peer_revision(state& configuration,
                        std::string const& address,
                        std::uint64_t revision,
                        step& current);
std::optional<instant> next_deadline(state const& configuration);

} // namespace plantaintally::configuration
