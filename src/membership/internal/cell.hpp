// The cell: the nodes that exchange heartbeats with this one.
#pragma once

#include "membership/state.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::membership
{

// Most members of a cell.
inline constexpr std::size_t max_cell_size = 16;

// The members of the cell that the record's node belongs to, without itself.
// Members are divided in an order by hash, which mixes availability zones.
std::vector<std::string> cell_of(state const& membership,
                                 member_record const& record);

// The nodes of other services that watch this record's node in addition: none
// if its cell is large enough and spans several availability zones.
std::vector<std::string> outside_watchers_of(state const& membership,
                                             member_record const& record);

// Works out this node's cell anew if members have come or gone, and whom to
// watch; true if it was.
bool refresh_cell(state& membership, instant now);

// Chooses the outside watchers anew; returns those that are not chosen again.
std::vector<std::string> refresh_outside_watchers(state& membership);

// True if there are too few outside watchers or one of them is gone.
bool lacks_outside_watchers(state const& membership);

} // namespace plantaintally::membership
