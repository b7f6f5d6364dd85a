// Request counters of a node, in total and over time.
#pragma once

#include "base/moment.hpp"
#include "base/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

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

// The request event that a counter counts. `reason` is the name of a refusal or
// of a verdict, or empty.
struct count_key
{
    count_kind kind = count_kind::arrived;
    std::string service;
    std::string rank;
    std::string reason;
    // Empty in the totals, whose size would otherwise grow with the number of
    // callers.
    std::string caller;

    bool operator==(count_key const&) const = default;
};

// A count_key whose strings belong to someone else, for lookup and counting
// without copies.
struct count_key_view
{
    count_kind kind = count_kind::arrived;
    std::string_view service;
    std::string_view rank;
    std::string_view reason;
    std::string_view caller;

    count_key_view() = default;
    count_key_view(count_key const& key)
        : kind(key.kind), service(key.service), rank(key.rank),
          reason(key.reason), caller(key.caller)
    {
    }

    bool operator==(count_key_view const&) const = default;
};

struct count_key_hash
{
    using is_transparent = void;
    std::size_t operator()(count_key_view const& key) const noexcept;
};

struct count_key_equal
{
    using is_transparent = void;
    bool operator()(count_key_view const& left,
                    count_key_view const& right) const noexcept
    {
        return left == right;
    }
};

using counts = std::
    unordered_map<count_key, std::uint64_t, count_key_hash, count_key_equal>;

// The counts of one time interval of `bucket_length`.
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

// Length of a bucket, and the number of buckets kept.
inline constexpr duration bucket_length = std::chrono::seconds(10);
inline constexpr std::size_t bucket_count = 60;

// Callers choose the service names and can be numerous. Limits for the services
// counted by name, and for the callers counted by name within a bucket, bound
// the memory use; the remaining ones are counted as "other".
inline constexpr std::size_t max_named_services = 2000;
inline constexpr std::size_t max_named_callers = 200;
inline constexpr std::string_view other_name = "other";

// Increments the total and the count in the bucket that contains `now`.
void add(counters& all, count_key_view const& key, instant now);

} // namespace plantaintally::node
