// News: changed records that are spread by gossip.
#pragma once

#include "membership/state.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaintally::membership
{

// Number of peers that one round of gossip is sent to.
inline constexpr std::size_t gossip_fanout = 3;
// Maximum number of records in one gossip message.
inline constexpr std::size_t max_gossip_items = 64;
// A node sends this many copies of each record, not counting heartbeats. The
// lower limit applies while more records are queued than fit into one message,
// as after the loss of an availability zone. Comparisons of views repair what
// gossip misses.
inline constexpr std::uint32_t max_transmissions = 12;
inline constexpr std::uint32_t max_transmissions_with_backlog = 6;
// Bandwidth limit of gossip, and the most that unused bandwidth adds up to for
// a burst.
inline constexpr double gossip_bytes_per_second = 6'000;
inline constexpr double gossip_burst_bytes = 60'000;
// Estimated size of a record in a message, for the bandwidth limit.
inline constexpr double estimated_record_bytes = 50;

// Queues the record for the next gossip rounds, replacing older news of the
// same member.
void queue_news(state& membership, member_record const& record);

// The records that this node's heartbeats carry: those of its own service
// first, then those sent least often.
std::vector<member_record> heartbeat_news(state const& membership);

// Merges the record into the view and, if it was newer, queues it for gossip;
// returns true if it was.
bool learn(state& membership, member_record const& record, step& current);

// Sends the queued records to a few random peers, within the bandwidth limit.
void gossip_round(state& membership, step& current);

} // namespace plantaintally::membership
