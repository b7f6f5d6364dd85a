// Dissemination of revisions between nodes: gossip of accepted changes, and
// anti-entropy by digests, which finds changes that gossip has missed.
#pragma once

#include "configuration/state.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace plantaintally::configuration
{

// Schedules gossip rounds for the changes above `base_revision`.
void start_gossip(state& configuration,
                  std::uint64_t base_revision,
                  step& current);

// Sends the gossip round and the digest that are due.
void advance_gossip(state& configuration,
                    std::span<std::string const> peers,
                    step& current);
std::optional<instant> gossip_deadline(state const& configuration);

// Requests the missing changes, or the whole document, from a peer that has a
// higher revision. Does nothing if the last such request was sent recently.
void request_catch_up(state& configuration,
                      std::string const& address,
                      step& current);

// Asks a few random peers for their revisions, and one of them for the
// document; used until this node is ready.
void request_initial_catch_up(state& configuration,
                              std::span<std::string const> peers,
                              step& current);

// Handles a control message of another node.
void handle_peer_message(state& configuration,
                         node_id const& sender,
                         message const& received,
                         step& current);

} // namespace plantaintally::configuration
