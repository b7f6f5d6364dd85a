// Judges which of the watched nodes have failed.
#pragma once

#include "membership/state.hpp"

#include <cstdint>
#include <vector>

namespace plantaintally::membership
{

// A message of this node has come: it lives.
void note_heard(state& membership, node_id const& sender, step& current);

// A node of the cell lists whom it has heard itself.
void note_digest(state& membership,
                 std::vector<std::uint32_t> const& heard,
                 instant now);

// Short hashes of the watched nodes heard in the last heartbeat interval.
std::vector<std::uint32_t> heard_lately(state const& membership, instant now);

// This process was paused: what it did not hear meanwhile proves nothing.
void forgive_lateness(state& membership, duration lateness, instant now);

// Suspects the nodes without a sign of life, and declares those gone that were
// suspected for long. Does neither while nothing at all is heard, since then
// this node itself is cut off.
void judge_peers(state& membership, step& current);

} // namespace plantaintally::membership
