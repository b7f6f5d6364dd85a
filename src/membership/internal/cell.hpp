// The cell: the nodes that exchange heartbeats with this one.
#pragma once

#include "membership/state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::membership
{

// Maximum number of members in a cell, the node itself included.
inline constexpr std::size_t max_cell_size = 16;

// The addresses of the other members of the cell of the record's node. The
// members of a service are partitioned in the order of their address hashes, so
// that a cell mixes availability zones.
std::vector<std::string> cell_of(state const& membership,
                                 member_record const& record);

// The addresses of the nodes of other services that watch the record's node in
// addition to its cell: none if the cell is large enough and spans several
// availability zones.
std::vector<std::string> outside_watchers_of(state const& membership,
                                             member_record const& record);

// Recomputes this node's cell and the peers that it watches if members have
// joined or left; returns true if it did.
bool refresh_cell(state& membership, instant now);

// Selects the outside watchers anew; returns the addresses of those that are no
// longer selected.
std::vector<std::string> refresh_outside_watchers(state& membership);

// True if an outside watcher is gone, or if there are too few and the number of
// members has changed since they were selected.
bool lacks_outside_watchers(state const& membership);

} // namespace plantaintally::membership
