#include "test_fleet/fake_store.hpp"

#include <variant>

namespace plantaintally::test_fleet
{

store_result fake_store::handle(store_request const& request, instant now)
{
    bool const is_write =
        std::holds_alternative<store_compare_and_set>(request);
    (is_write ? this->writes : this->reads) += 1;
    if (this->is_down)
    {
        return store_unavailable{false};
    }
    this->expire_leases(now);
    if (auto const* get = std::get_if<store_get>(&request))
    {
        return this->read(get->key);
    }
    if (auto const* query = std::get_if<store_watch>(&request))
    {
        return this->watch(*query);
    }
    if (auto const* grant = std::get_if<store_grant_lease>(&request))
    {
        return this->grant(*grant, now);
    }
    if (auto const* renewal = std::get_if<store_renew_lease>(&request))
    {
        return this->renew(*renewal, now);
    }
    store_result result = this->write(std::get<store_compare_and_set>(request));
    if (this->answers_to_lose > 0)
    {
        this->answers_to_lose -= 1;
        return store_unavailable{true};
    }
    return result;
}

void fake_store::restore(fake_store const& older)
{
    this->items = older.items;
    this->leases = older.leases;
    this->last_revision = older.last_revision;
    this->era += 1;
}

std::string fake_store::value_of(std::string const& key) const
{
    auto const found = this->items.find(key);
    return found == this->items.end() ? std::string() : found->second.value;
}

store_result fake_store::read(std::string const& key) const
{
    auto const found = this->items.find(key);
    if (found == this->items.end())
    {
        return store_missing{};
    }
    return store_entry{key, found->second.value, found->second.revision};
}

store_result fake_store::write(store_compare_and_set const& request)
{
    if (!request.lease.empty() && !this->leases.contains(request.lease))
    {
        return store_lease_lost{request.lease};
    }
    auto const found = this->items.find(request.key);
    std::uint64_t const revision =
        found == this->items.end() ? 0 : found->second.revision;
    if (revision != request.expected_revision)
    {
        return store_conflict{revision};
    }
    this->last_revision += 1;
    this->items[request.key] =
        item{request.value, this->last_revision, request.lease};
    return store_written{this->last_revision};
}

store_result fake_store::watch(store_watch const& request)
{
    auto const found = this->items.find(request.key);
    if (found == this->items.end() ||
        found->second.revision <= request.after_revision)
    {
        return store_unchanged{};
    }
    return this->read(request.key);
}

store_result fake_store::grant(store_grant_lease const& request, instant now)
{
    this->last_lease += 1;
    std::string const lease = "lease-" + std::to_string(this->last_lease);
    this->leases[lease] =
        lease_state{request.time_to_live, now + request.time_to_live};
    return store_lease_held{lease, request.time_to_live};
}

store_result fake_store::renew(store_renew_lease const& request, instant now)
{
    auto const found = this->leases.find(request.lease);
    if (found == this->leases.end())
    {
        return store_lease_lost{request.lease};
    }
    found->second.expires_at = now + found->second.time_to_live;
    return store_lease_held{request.lease, found->second.time_to_live};
}

void fake_store::expire_leases(instant now)
{
    std::erase_if(this->leases,
                  [now](auto const& entry)
                  { return entry.second.expires_at <= now; });
    std::erase_if(this->items,
                  [this](auto const& entry)
                  {
                      std::string const& lease = entry.second.lease;
                      return !lease.empty() && !this->leases.contains(lease);
                  });
}

} // namespace plantaintally::test_fleet
