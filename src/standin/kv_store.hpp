// The platform's key-value service as a data structure, without I/O.
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
    std::string lease;
};

// How a compare-and-swap ended.
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

// The store holds kv_store::key_limit keys already.
struct kv_full
{
};

using kv_write_result = std::
    variant<kv_written, kv_conflict, kv_unknown_lease, kv_too_large, kv_full>;

// Compare-and-swap on single keys, with one revision that grows with every
// write and removal, and leases that remove their keys when they lapse.
class kv_store
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    static constexpr std::size_t value_limit_bytes = std::size_t{1024} * 1024;
    static constexpr std::size_t key_limit = 100'000;
    static constexpr std::size_t lease_limit = 100'000;

    // The entry, or null if there is none.
    kv_entry const* find(std::string_view key) const;

    // Writes if the key's revision is the expected one; zero expects that the
    // key does not exist. An empty lease keeps the key for good.
    kv_write_result compare_and_swap(std::string_view key,
                                     std::string value,
                                     std::uint64_t expected_revision,
                                     std::string_view lease);

    // The id of a new lease; nothing if there are too many.
    std::optional<std::string> grant_lease(std::chrono::milliseconds ttl,
                                           time_point now);

    // The time to live that the lease has again; nothing if it has lapsed.
    std::optional<std::chrono::milliseconds> renew_lease(std::string_view lease,
                                                         time_point now);

    // Removes lapsed leases with their keys; true if a key went.
    bool expire_leases(time_point now);

    std::size_t key_count() const
    {
        return this->entries.size();
    }

private:
    struct lease_state
    {
        std::chrono::milliseconds ttl{};
        time_point lapses_at;
        std::set<std::string> keys;
    };

    void detach(std::string_view key, std::string const& lease);

    std::map<std::string, kv_entry, std::less<>> entries;
    std::map<std::string, lease_state, std::less<>> leases;
    std::uint64_t last_revision = 0;
    std::uint64_t last_lease = 0;
};

} // namespace plantaintally::standin
