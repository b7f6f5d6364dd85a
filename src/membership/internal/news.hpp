// News: changed records on their way through the fleet.
#pragma once

#include "membership/state.hpp"

#include <cstddef>
#include <vector>

namespace plantaintally::membership
{

// Passes the record on in the next rounds, in place of older news of the same
// member.
void queue_news(state& membership, member_record const& record);

// The records that ride on this node's heartbeats, the least spread first.
std::vector<member_record> heartbeat_news(state const& membership);

// Takes the record in and, if it was newer, passes it on; true if it was.
bool learn(state& membership, member_record const& record, step& current);

// Sends one round of gossip to a few random peers, within the allowance.
void gossip_round(state& membership, step& current);

} // namespace plantaintally::membership
