// News: changed records on their way through the fleet.
#pragma once

#include "membership/state.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaintally::membership
{

// Peers that one round of gossip goes to.
inline constexpr std::size_t gossip_fanout = 3;
// Most items in one gossip message.
inline constexpr std::size_t max_gossip_items = 64;
// A node passes each item on this many times, heartbeats not counted: fewer
// while it has more items than one message holds, as after the loss of an
// availability zone. What gossip then misses is left to comparisons of views.
inline constexpr std::uint32_t max_transmissions = 12;
inline constexpr std::uint32_t crowded_transmissions = 6;
// Bytes that gossip may send a second, and what it may save up.
inline constexpr double gossip_bytes_per_second = 6'000;
inline constexpr double gossip_burst_bytes = 60'000;
// Size of a record in a message, for the allowance.
inline constexpr double record_bytes = 50;

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
