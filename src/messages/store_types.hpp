// Calls to the platform's key-value store, and their results.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plantaintally
{

// The part of the reducer that made a call and receives its result.
enum class store_client
{
    membership,
    configuration,
    once,
    routes,
    departures
};

// A key's value and the store-wide revision of its last write.
struct store_entry
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    // Position in the store's history at which the key was read; zero stands
    // for `revision`.
    std::uint64_t cursor = 0;

    bool operator==(store_entry const&) const = default;
};

struct store_get
{
    std::string key;
    bool operator==(store_get const&) const = default;
};

// Writes the value only if the key has the expected revision; zero means that
// the key must not exist. If `lease` is set, the key is removed when the lease
// expires.
struct store_compare_and_set
{
    std::string key;
    std::uint64_t expected_revision = 0;
    std::string value;
    std::string lease;
    bool operator==(store_compare_and_set const&) const = default;
};

// Completes once the key's revision exceeds `after_revision`, which may be the
// cursor of an earlier result, or with store_unchanged after `limit`.
struct store_watch
{
    std::string key;
    std::uint64_t after_revision = 0;
    duration limit{};
    bool operator==(store_watch const&) const = default;
};

struct store_grant_lease
{
    duration time_to_live{};
    bool operator==(store_grant_lease const&) const = default;
};

struct store_renew_lease
{
    std::string lease;
    bool operator==(store_renew_lease const&) const = default;
};

using store_request = std::variant<store_get,
                                   store_compare_and_set,
                                   store_watch,
                                   store_grant_lease,
                                   store_renew_lease>;

struct store_missing
{
    std::uint64_t cursor = 0;
    bool operator==(store_missing const&) const = default;
};

struct store_unchanged
{
    std::uint64_t cursor = 0;
    bool operator==(store_unchanged const&) const = default;
};

// The store no longer retains the history since the watch's `after_revision`;
// the key has to be read again.
struct store_history_lost
{
    bool operator==(store_history_lost const&) const = default;
};

struct store_written
{
    std::uint64_t revision = 0;
    bool operator==(store_written const&) const = default;
};

// The key did not have the expected revision.
struct store_conflict
{
    std::uint64_t current_revision = 0;
    bool operator==(store_conflict const&) const = default;
};

struct store_lease_held
{
    std::string lease;
    duration time_to_live{};
    bool operator==(store_lease_held const&) const = default;
};

struct store_lease_lost
{
    std::string lease;
    bool operator==(store_lease_lost const&) const = default;
};

// The store gave no result. If `may_be_done` is set, a write may have taken
// effect.
struct store_unavailable
{
    bool may_be_done = true;
    bool operator==(store_unavailable const&) const = default;
};

using store_result = std::variant<store_entry,
                                  store_missing,
                                  store_unchanged,
                                  store_history_lost,
                                  store_written,
                                  store_conflict,
                                  store_lease_held,
                                  store_lease_lost,
                                  store_unavailable>;

} // namespace plantaintally
