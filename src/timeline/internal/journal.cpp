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

void append(journal& kept, timeline_entry entry)
{
    kept.entries.push_back(std::move(entry));
    while (kept.entries.size() > kept.entry_limit)
    {
        kept.entries.pop_front();
        ++kept.dropped;
    }
}

std::vector<timeline_entry> entries_of(journal const& kept,
                                       std::string_view trace_id)
{
    std::vector<timeline_entry> found;
    for (timeline_entry const& entry : kept.entries)
    {
        if (entry.trace_id == trace_id)
        {
            found.push_back(entry);
        }
    }
    sort_by_time(found);
    return found;
}

std::vector<timeline_entry> entries_since(journal const& kept,
                                          std::int64_t since_wall_us,
                                          std::size_t limit)
{
    std::vector<timeline_entry> found;
    for (auto entry = kept.entries.rbegin(); entry != kept.entries.rend();
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
