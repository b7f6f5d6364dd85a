#include "fake_store.hpp"

namespace plantaintally::node
{

void fake_store::put(std::string const& key, std::string value)
{
    this->entries[key] = store_entry{key, std::move(value), ++this->revision};
}

void fake_store::restore(fake_store const& older)
{
    this->entries = older.entries;
    this->revision = older.revision;
    this->era += 1;
}

store_result fake_store::call(store_request const& request)
{
    if (auto const* get = std::get_if<store_get>(&request))
    {
        auto const found = this->entries.find(get->key);
        return found == this->entries.end() ? store_result{store_missing{}}
                                            : store_result{found->second};
    }
    if (auto const* watch = std::get_if<store_watch>(&request))
    {
        auto const found = this->entries.find(watch->key);
        bool const is_news = found != this->entries.end() &&
                             found->second.revision > watch->after_revision;
        return is_news ? store_result{found->second}
                       : store_result{store_unchanged{}};
    }
    if (auto const* write = std::get_if<store_compare_and_set>(&request))
    {
        auto const found = this->entries.find(write->key);
        std::uint64_t const held =
            found == this->entries.end() ? 0 : found->second.revision;
        if (held != write->expected_revision)
        {
            return store_conflict{held};
        }
        this->put(write->key, write->value);
        return store_written{this->revision};
    }
    if (auto const* grant = std::get_if<store_grant_lease>(&request))
    {
        std::string const name = "lease-" + std::to_string(++this->last_lease);
        return store_lease_held{name, grant->time_to_live};
    }
    auto const& renewal = std::get<store_renew_lease>(request);
    return store_lease_held{renewal.lease, std::chrono::seconds(10)};
}

} // namespace plantaintally::node
