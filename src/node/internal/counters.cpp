#include "node/counters.hpp"

namespace plantaintally::node
{

namespace
{

count_bucket& bucket_at(counters& all, instant now)
{
    instant const start = now - now.time_since_epoch() % bucket_length;
    if (all.buckets.empty() || all.buckets.back().start < start)
    {
        all.buckets.push_back(count_bucket{start, {}, {}});
    }
    while (all.buckets.size() > bucket_count)
    {
        all.buckets.pop_front();
    }
    return all.buckets.back();
}

// Returns the name, or "other" if the limit of counted names is reached.
std::string bounded_name(std::set<std::string, std::less<>>& named,
                         std::string const& name,
                         std::size_t limit)
{
    if (named.contains(name))
    {
        return name;
    }
    if (named.size() >= limit)
    {
        return std::string(other_name);
    }
    named.insert(name);
    return name;
}

} // namespace

std::string_view to_string(count_kind kind)
{
    switch (kind)
    {
    case count_kind::arrived:
        return "arrived";
    case count_kind::admitted:
        return "admitted";
    case count_kind::queued:
        return "queued";
    case count_kind::shed:
        return "shed";
    case count_kind::refused:
        return "refused";
    case count_kind::retried:
        return "retried";
    case count_kind::attempted:
        return "attempted";
    case count_kind::answered:
        return "answered";
    case count_kind::duplicate_joined:
        return "duplicate_joined";
    case count_kind::duplicate_replayed:
        return "duplicate_replayed";
    }
    return "arrived";
}

void add(counters& all, count_key const& key, instant now)
{
    count_key bounded_key = key;
    bounded_key.service =
        bounded_name(all.services, key.service, max_named_services);
    count_bucket& bucket = bucket_at(all, now);
    bounded_key.caller =
        bounded_name(bucket.callers, key.caller, max_named_callers);
    ++bucket.values[bounded_key];
    bounded_key.caller.clear();
    ++all.total[bounded_key];
}

} // namespace plantaintally::node
