// Selects the recipients of this node's heartbeats and sends them.
#pragma once

#include "membership/state.hpp"
#include "messages/step.hpp"

#include <string>
#include <vector>

namespace plantaintally::membership
{

// The addresses of all nodes that watch this one: its cell and its outside
// watchers.
std::vector<std::string> watchers_of_self(state const& membership);

// Sends a heartbeat to random members of the cell and to all outside watchers.
void send_heartbeats(state& membership, step& current);

// Selects the outside watchers anew, and notifies those that are no longer
// selected.
void reselect_outside_watchers(state& membership, step& current);

// Recomputes the cell and the outside watchers if they are outdated.
void refresh_targets(state& membership, step& current);

} // namespace plantaintally::membership
