#include "node/counters.hpp"

#include <boost/container_hash/hash.hpp>

#include <functional>

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
                         std::string_view name,
                         std::size_t limit)
{
    if (named.contains(name))
    {
        return std::string(name);
    }
    if (named.size() >= limit)
    {
        return std::string(other_name);
    }
    return *named.emplace(name).first;
}

// Counts an event under a key that has been counted before, whose names are
// therefore within the limits. Returns false if there is no such key.
bool add_to_known(counts& known, count_key_view const& key)
{
    auto const found = known.find(key);
    if (found == known.end())
    {
        return false;
    }
    ++found->second;
    return true;
}

void add_in_bucket(count_bucket& bucket,
                   count_key_view const& key,
                   std::string_view service)
{
    if (add_to_known(bucket.values, key))
    {
        return;
    }
    std::string const caller =
        bounded_name(bucket.callers, key.caller, max_named_callers);
    ++bucket.values[count_key{key.kind,
                              std::string(service),
                              std::string(key.rank),
                              std::string(key.reason),
                              caller}];
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

std::size_t count_key_hash::operator()(count_key_view const& key) const noexcept
{
    std::size_t hash = static_cast<std::size_t>(key.kind);
    for (std::string_view const part :
         {key.service, key.rank, key.reason, key.caller})
    {
        boost::hash_combine(hash, std::hash<std::string_view>{}(part));
    }
    return hash;
}

void add(counters& all, count_key_view const& key, instant now)
{
    count_key_view total_key = key;
    total_key.caller = {};
    if (add_to_known(all.total, total_key))
    {
        return add_in_bucket(bucket_at(all, now), key, key.service);
    }
    std::string const service =
        bounded_name(all.services, key.service, max_named_services);
    add_in_bucket(bucket_at(all, now), key, service);
    ++all.total[count_key{
        key.kind, service, std::string(key.rank), std::string(key.reason), {}}];
}

} // namespace plantaintally::node
