// The most recent entries of a node's time line, limited in number.
#pragma once

#include "timeline/timeline_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace plantaintally::timeline
{

// Keeps the newest entries; older ones are dropped and counted.
struct journal
{
    std::size_t entry_limit = 20'000;
    std::deque<timeline_entry> entries;
    std::uint64_t dropped = 0;
};

// Appends an entry and drops the oldest ones beyond the limit.
void append(journal& log, timeline_entry entry);

// Returns the entries of one request in chronological order.
std::vector<timeline_entry> entries_of(journal const& log,
                                       std::string_view trace_id);

// Returns the entries at or after `since_wall_us`, in microseconds since the
// Unix epoch, in chronological order. If there are more than `limit`, the
// newest ones are returned.
std::vector<timeline_entry> entries_since(journal const& log,
                                          std::int64_t since_wall_us,
                                          std::size_t limit);

} // namespace plantaintally::timeline
