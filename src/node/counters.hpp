// Counts of what became of requests, in total and over time.
#pragma once

#include "base/moment.hpp"
#include "base/verdict.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::node
{

enum class count_kind
{
    arrived,
    admitted,
    queued,
    shed,
    refused,
    retried,
    attempted,
    answered,
    duplicate_joined,
    duplicate_replayed
};

std::string_view to_string(count_kind kind);

// What a count is about. `reason` is a refusal's or a verdict's name, or empty.
struct count_key
{
    count_kind kind = count_kind::arrived;
    std::string service;
    std::string rank;
    std::string reason;

    auto operator<=>(count_key const&) const = default;
};

using counts = std::map<count_key, std::uint64_t>;

// The counts of one span of time.
struct count_bucket
{
    instant start{};
    counts values;
};

struct counters
{
    counts total;
    // Oldest first.
    std::deque<count_bucket> buckets;
};

// Length of a bucket, and how many are kept.
inline constexpr duration bucket_length = std::chrono::seconds(10);
inline constexpr std::size_t bucket_count = 60;

void add(counters& all, count_key const& key, instant now);

// The counts of the buckets that end after `from`.
counts counts_since(counters const& all, instant from);

} // namespace plantaintally::node
