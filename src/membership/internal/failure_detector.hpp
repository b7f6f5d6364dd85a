// Failure detection for the nodes that this node watches.
#pragma once

#include "membership/state.hpp"

#include <cstdint>
#include <vector>

namespace plantaintally::membership
{

// Records that a message from `sender` has arrived, which proves that it is
// alive.
void note_message_from(state& membership, node_id const& sender, step& current);

// Takes the nodes listed in a heartbeat's digest as alive: the sender has
// received messages from them.
void note_digest(state& membership,
                 std::vector<std::uint32_t> const& heard,
                 instant now);

// Short hashes of the addresses of the watched nodes whose messages arrived in
// about the last heartbeat interval.
std::vector<std::uint32_t> recently_heard(state const& membership, instant now);

// Postpones suspicions and their timeouts by `lateness` after this process was
// paused: messages that it did not receive meanwhile are no evidence of
// failures.
void compensate_for_pause(state& membership, duration lateness, instant now);

// Suspects the nodes without a recent sign of life, and declares suspects gone
// after the suspicion timeout. Does neither while no message arrives at all,
// since this node is then isolated itself.
void check_watched_peers(state& membership, step& current);

// Sends some of the members that are suspected, or were declared gone a short
// time ago by others, their records. A member that is alive answers this node
// with a newer one, also if all other messages about it are lost.
void ask_doubted_members(state& membership, step& current);

} // namespace plantaintally::membership
