// Spreading of revisions between nodes: gossip of accepted changes, and
// digests that repair what gossip has missed.
#pragma once

#include "configuration/state.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace plantaintally::configuration
{

// Passes what lies above `base_revision` on in the next rounds.
void begin_spread(state& configuration,
                  std::uint64_t base_revision,
                  step& current);

// Sends the rounds and digests that are due.
void advance_spread(state& configuration,
                    std::span<std::string const> peers,
                    step& current);
std::optional<instant> spread_deadline(state const& configuration);

// A peer has a higher revision: asks it for what is missing.
void ask_peer(state& configuration, std::string const& address, step& current);

// A node that is not ready asks a few peers for their revision and document.
void ask_at_start(state& configuration,
                  std::span<std::string const> peers,
                  step& current);

void take_message(state& configuration,
                  node_id const& sender,
                  message const& received,
                  step& current);

} // namespace plantaintally::configuration
