// Whom this node's heartbeats go to, and sending them.
#pragma once

#include "membership/state.hpp"
#include "messages/step.hpp"

#include <string>
#include <vector>

namespace plantaintally::membership
{

// Everyone who watches this node.
std::vector<std::string> watchers_of_self(state const& membership);

// Sends a heartbeat to some of the cell and to the outside watchers.
void send_heartbeats(state& membership, step& current);

// Chooses outside watchers anew, and tells those that watch no more.
void choose_watchers(state& membership, step& current);

// Works the cell and the outside watchers out anew where that is needed.
void refresh_targets(state& membership, step& current);

} // namespace plantaintally::membership
