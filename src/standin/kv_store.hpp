// The data structure behind the platform's key-value store, without I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace plantaintally::standin
{

// A key's value and the store-wide revision of its last write.
struct kv_entry
{
    std::string value;
    std::uint64_t revision = 0;
    // The lease that keeps the key; empty if the key is permanent.
    std::string lease;
};

// The results of a compare-and-swap.
struct kv_written
{
    std::uint64_t revision = 0;
};

struct kv_conflict
{
    std::uint64_t current_revision = 0;
};

struct kv_unknown_lease
{
};

// The value is larger than kv_store::value_limit_bytes.
struct kv_too_large
{
};

// The key is new and the store already holds kv_store::key_limit keys.
struct kv_full
{
};

using kv_write_result = std::
    variant<kv_written, kv_conflict, kv_unknown_lease, kv_too_large, kv_full>;

// Compare-and-swap on single keys. One store-wide revision increases with every
// write and removal. Keys attached to a lease are removed when it expires.
class kv_store
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    static constexpr std::size_t value_limit_bytes = std::size_t{1024} * 1024;
    static constexpr std::size_t key_limit = 100'000;
    static constexpr std::size_t lease_limit = 100'000;

    // Returns the entry of a key, or null if the key does not exist.
    kv_entry const* find(std::string_view key) const;

    // Writes the value if the key has the expected revision; zero means that
    // the key must not exist. With an empty lease the key is permanent.
    kv_write_result compare_and_swap(std::string_view key,
                                     std::string value,
                                     std::uint64_t expected_revision,
                                     std::string_view lease);

    // Grants a lease and returns its id; empty if lease_limit is reached.
    std::optional<std::string> grant_lease(std::chrono::milliseconds ttl,
                                           time_point now);

    // Renews a lease and returns its time to live; empty if it has expired or
    // never existed.
    std::optional<std::chrono::milliseconds> renew_lease(std::string_view lease,
                                                         time_point now);

    // Removes expired leases with their keys; returns true if any key was
    // removed.
    bool expire_leases(time_point now);

    std::size_t key_count() const
    {
        return this->entries.size();
    }

private:
    struct lease_state
    {
        std::chrono::milliseconds ttl{};
        time_point expires_at;
        std::set<std::string> keys;
    };

    void remove_from_lease(std::string_view key, std::string const& lease);

    std::map<std::string, kv_entry, std::less<>> entries;
    std::map<std::string, lease_state, std::less<>> leases;
    std::uint64_t last_revision = 0;
    std::uint64_t last_lease_number = 0;
};

} // namespace plantaintally::standin
