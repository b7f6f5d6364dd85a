// The configuration in force at this node: how it is read from the platform's
// service, spread between nodes, and changed by operators.
#pragma once

#include "base/result.hpp"
#include "configuration/change.hpp"
#include "configuration/document.hpp"
#include "configuration/messages.hpp"
#include "messages/step.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace plantaintally::configuration
{

// The key of the document at the platform's service.
inline constexpr std::string_view document_key = "plantaintally/configuration";

// State of the configuration at this node; owned by the node's state.
struct state
{
    node_id self;
    std::string availability_zone;
    document in_force;
};

// The document that holds before an operator has made any change: one rank,
// "default", that every request belongs to.
document default_document();

// The document in force; its revision never decreases.
document const& current(state const& configuration);

// True once the node knows the highest revision of the platform's service or,
// while that is down, of its peers; no work is admitted before.
bool is_ready(state const& configuration);

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

// Applies an operator's change by compare-and-swap; answers the command with
// accepted, conflict, refused or unknown, now or in a later step.
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
std::optional<instant> next_deadline(state const& configuration);

} // namespace plantaintally::configuration
