#include "standin/kv_store.hpp"

#include <utility>

namespace plantaintally::standin
{

kv_entry const* kv_store::find(std::string_view key) const
{
    auto const found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

kv_write_result kv_store::compare_and_swap(std::string_view key,
                                           std::string value,
                                           std::uint64_t expected_revision,
                                           std::string_view lease)
{
    if (value.size() > value_limit_bytes)
    {
        return kv_too_large{};
    }
    auto found = this->entries.find(key);
    std::uint64_t const current =
        found == this->entries.end() ? 0 : found->second.revision;
    if (current != expected_revision)
    {
        return kv_conflict{current};
    }
    auto const lease_entry = this->leases.find(lease);
    if (!lease.empty() && lease_entry == this->leases.end())
    {
        return kv_unknown_lease{};
    }
    if (found == this->entries.end())
    {
        if (this->entries.size() >= key_limit)
        {
            return kv_full{};
        }
        found = this->entries.emplace(std::string(key), kv_entry{}).first;
    }
    this->remove_from_lease(key, found->second.lease);
    if (!lease.empty())
    {
        lease_entry->second.keys.emplace(key);
    }
    found->second =
        kv_entry{std::move(value), ++this->last_revision, std::string(lease)};
    return kv_written{this->last_revision};
}

std::optional<std::string> kv_store::grant_lease(std::chrono::milliseconds ttl,
                                                 time_point now)
{
    if (this->leases.size() >= lease_limit)
    {
        return std::nullopt;
    }
    auto id = "lease-" + std::to_string(++this->last_lease_number);
    this->leases.emplace(id, lease_state{ttl, now + ttl, {}});
    return id;
}

std::optional<std::chrono::milliseconds>
kv_store::renew_lease(std::string_view lease, time_point now)
{
    auto const found = this->leases.find(lease);
    if (found == this->leases.end() || found->second.expires_at <= now)
    {
        return std::nullopt;
    }
    found->second.expires_at = now + found->second.ttl;
    return found->second.ttl;
}

bool kv_store::expire_leases(time_point now)
{
    bool is_any_removed = false;
    for (auto it = this->leases.begin(); it != this->leases.end();)
    {
        if (it->second.expires_at > now)
        {
            ++it;
            continue;
        }
        for (auto const& key : it->second.keys)
        {
            this->entries.erase(key);
            ++this->last_revision;
            is_any_removed = true;
        }
        it = this->leases.erase(it);
    }
    return is_any_removed;
}

void kv_store::remove_from_lease(std::string_view key, std::string const& lease)
{
    auto const lease_entry = this->leases.find(lease);
    if (lease_entry != this->leases.end())
    {
        lease_entry->second.keys.erase(std::string(key));
    }
}

} // namespace plantaintally::standin
