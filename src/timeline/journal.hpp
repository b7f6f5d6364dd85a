// The recent entries of a node's time line, bounded by count.
#pragma once

#include "timeline/timeline_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace plantaintally::timeline
{

// Keeps the newest entries; the oldest ones are dropped and counted.
struct journal
{
    std::size_t entry_limit = 20'000;
    std::deque<timeline_entry> entries;
    std::uint64_t dropped = 0;
};

// Appends an entry, dropping the oldest ones beyond the limit.
void append(journal& log, timeline_entry entry);

// The kept entries of one request, in order of time.
std::vector<timeline_entry> entries_of(journal const& log,
                                       std::string_view trace_id);

// The kept entries at or after `since_wall_us`, at most `limit` of them, the
// newest ones if there are more; microseconds since the Unix epoch.
std::vector<timeline_entry> entries_since(journal const& log,
                                          std::int64_t since_wall_us,
                                          std::size_t limit);

} // namespace plantaintally::timeline
