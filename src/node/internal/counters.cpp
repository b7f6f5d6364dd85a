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
        all.buckets.push_back(count_bucket{start, {}});
    }
    while (all.buckets.size() > bucket_count)
    {
        all.buckets.pop_front();
    }
    return all.buckets.back();
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
    ++all.total[key];
    ++bucket_at(all, now).values[key];
}

counts counts_since(counters const& all, instant from)
{
    counts sum;
    for (count_bucket const& bucket : all.buckets)
    {
        if (bucket.start + bucket_length <= from)
        {
            continue;
        }
        for (auto const& [key, value] : bucket.values)
        {
            sum[key] += value;
        }
    }
    return sum;
}

} // namespace plantaintally::node
