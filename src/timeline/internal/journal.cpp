#include "timeline/journal.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::timeline
{

namespace
{

void sort_by_time(std::vector<timeline_entry>& entries)
{
    std::stable_sort(entries.begin(),
                     entries.end(),
                     [](timeline_entry const& a, timeline_entry const& b)
                     { return a.at < b.at; });
}

} // namespace

void append(journal& log, timeline_entry entry)
{
    log.entries.push_back(std::move(entry));
    while (log.entries.size() > log.entry_limit)
    {
        log.entries.pop_front();
        ++log.dropped;
    }
}

std::vector<timeline_entry> entries_of(journal const& log,
                                       std::string_view trace_id)
{
    std::vector<timeline_entry> found;
    for (timeline_entry const& entry : log.entries)
    {
        if (entry.trace_id == trace_id)
        {
            found.push_back(entry);
        }
    }
    sort_by_time(found);
    return found;
}

std::vector<timeline_entry>
entries_since(journal const& log, std::int64_t since_wall_us, std::size_t limit)
{
    std::vector<timeline_entry> found;
    for (auto entry = log.entries.rbegin(); entry != log.entries.rend();
         ++entry)
    {
        if (found.size() == limit)
        {
            break;
        }
        if (entry->at.wall_us >= since_wall_us)
        {
            found.push_back(*entry);
        }
    }
    sort_by_time(found);
    return found;
}

} // namespace plantaintally::timeline
