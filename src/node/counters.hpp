// Counts of what became of requests, in total and over time.
#pragma once

#include "base/moment.hpp"
#include "base/verdict.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
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
    // Empty in the totals, which would grow with every caller.
    std::string caller;

    auto operator<=>(count_key const&) const = default;
};

using counts = std::map<count_key, std::uint64_t>;

// The counts of one span of time.
struct count_bucket
{
    instant start{};
    counts values;
    std::set<std::string, std::less<>> callers;
};

struct counters
{
    counts total;
    std::set<std::string, std::less<>> services;
    // Oldest first.
    std::deque<count_bucket> buckets;
};

// Length of a bucket, and how many are kept.
inline constexpr duration bucket_length = std::chrono::seconds(10);
inline constexpr std::size_t bucket_count = 60;

// Outside callers choose the names of services and may be many, so only this
// many services, and callers in a bucket, are counted by name.
inline constexpr std::size_t max_named_services = 2000;
inline constexpr std::size_t max_named_callers = 200;
inline constexpr std::string_view other_name = "other";

// Counts one occurrence, in total and in the bucket of `now`.
void add(counters& all, count_key const& key, instant now);

} // namespace plantaintally::node
