#include "membership/internal/view.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace plantaintally::membership
{

namespace
{

// How long a member that others suspect or have declared gone is asked whether
// it is alive.
constexpr duration doubt_lifetime = std::chrono::seconds(60);

auto version_key(member_record const& record)
{
    return std::make_tuple(record.node.incarnation,
                           record.status_version,
                           static_cast<int>(record.status));
}

auto position_of(std::vector<member_record>& records, std::string_view address)
{
    return std::lower_bound(
        records.begin(),
        records.end(),
        address,
        [](member_record const& record, std::string_view wanted)
        { return record.node.address < wanted; });
}

void invalidate(state& membership, std::string const& service)
{
    membership.service_hashes[service] = 0;
    membership.view_version += 1;
    if (membership.self_record && membership.self_record->service == service)
    {
        membership.is_cell_stale = true;
    }
}

void remove_live(state& membership, std::string const& address)
{
    auto const address_entry = membership.service_by_address.find(address);
    if (address_entry == membership.service_by_address.end())
    {
        return;
    }
    std::string const service = address_entry->second;
    membership.service_by_address.erase(address_entry);
    std::vector<member_record>& records = membership.services[service];
    records.erase(position_of(records, address));
    invalidate(membership, service);
    if (records.empty())
    {
        membership.services.erase(service);
        membership.service_hashes.erase(service);
    }
}

void put_live(state& membership, member_record const& record)
{
    auto const address_entry =
        membership.service_by_address.find(record.node.address);
    if (address_entry != membership.service_by_address.end() &&
        address_entry->second != record.service)
    {
        remove_live(membership, record.node.address);
    }
    std::vector<member_record>& records = membership.services[record.service];
    auto const place = position_of(records, record.node.address);
    if (place != records.end() && place->node.address == record.node.address)
    {
        *place = record;
    }
    else
    {
        records.insert(place, record);
    }
    membership.service_by_address[record.node.address] = record.service;
    invalidate(membership, record.service);
}

// Returns true if `gone` was published by a member that left: a member drains
// before it leaves, and a node that declares another one gone has suspected it
// before.
bool is_own_departure(member_record const& held, member_record const& gone)
{
    return held.status == member_status::draining &&
           gone.node.incarnation == held.node.incarnation &&
           gone.status_version == held.status_version + 1;
}

// Updates whether the member is asked if it is alive, before `record` replaces
// its current record.
void update_doubt(state& membership, member_record const& record, instant now)
{
    std::string const& address = record.node.address;
    member_record const* const held = find_record(membership, address);
    bool const is_accused =
        record.status == member_status::suspected ||
        (record.status == member_status::gone && held != nullptr &&
         !is_own_departure(*held, record));
    if (!is_accused || address == membership.startup_options.self.address)
    {
        membership.doubted.erase(address);
        return;
    }
    if (membership.doubted.empty())
    {
        // Most suspicions are refuted before the first question.
        membership.next_doubt_round = now + doubt_interval;
    }
    membership.doubted[address] = now + doubt_lifetime;
}

std::uint64_t hash_record(member_record const& record)
{
    std::uint64_t hash = stable_hash(record.node.address);
    hash = stable_hash(record.availability_zone, hash ^ record.slots);
    std::uint64_t const version =
        (static_cast<std::uint64_t>(record.status_version) << 2U) +
        static_cast<std::uint64_t>(record.status);
    return stable_hash(record.service,
                       hash ^ version ^ (record.node.incarnation * 31U));
}

} // namespace

bool is_newer(member_record const& left, member_record const& right)
{
    return version_key(left) > version_key(right);
}

member_record const* find_record(state const& membership,
                                 std::string_view address)
{
    auto const address_entry = membership.service_by_address.find(address);
    if (address_entry == membership.service_by_address.end())
    {
        auto const gone = membership.tombstones.find(address);
        return gone == membership.tombstones.end() ? nullptr
                                                   : &gone->second.record;
    }
    std::vector<member_record> const& records =
        membership.services.at(address_entry->second);
    auto const place = std::lower_bound(
        records.begin(),
        records.end(),
        address,
        [](member_record const& record, std::string_view wanted)
        { return record.node.address < wanted; });
    return &*place;
}

bool merge_record(state& membership, member_record const& record, instant now)
{
    member_record const* const held =
        find_record(membership, record.node.address);
    if (held != nullptr && !is_newer(record, *held))
    {
        return false;
    }
    update_doubt(membership, record, now);
    if (record.status == member_status::gone)
    {
        remove_live(membership, record.node.address);
        membership.tombstones[record.node.address] = tombstone{
            record, now + membership.startup_options.tombstone_lifetime};
        return true;
    }
    membership.tombstones.erase(record.node.address);
    put_live(membership, record);
    return true;
}

std::uint64_t hash_service(state& membership, std::string_view service)
{
    auto const found = membership.services.find(service);
    if (found == membership.services.end())
    {
        return 0;
    }
    std::uint64_t& hash = membership.service_hashes[found->first];
    if (hash == 0)
    {
        for (member_record const& record : found->second)
        {
            hash += hash_record(record);
        }
        hash |= 1U;
    }
    return hash;
}

std::size_t bucket_of(std::string_view service)
{
    return stable_hash(service) % bucket_count;
}

std::vector<std::uint64_t> hash_buckets(state& membership)
{
    std::vector<std::uint64_t> buckets(bucket_count, 0);
    for (auto const& [service, records] : membership.services)
    {
        buckets[bucket_of(service)] +=
            stable_hash(service, hash_service(membership, service));
    }
    return buckets;
}

std::vector<member_record> records_of(state const& membership,
                                      std::string_view service)
{
    std::vector<member_record> records;
    auto const found = membership.services.find(service);
    if (found != membership.services.end())
    {
        records = found->second;
    }
    for (auto const& [address, gone] : membership.tombstones)
    {
        if (gone.record.service == service)
        {
            records.push_back(gone.record);
        }
    }
    return records;
}

void expire_tombstones(state& membership, instant now)
{
    std::erase_if(membership.tombstones,
                  [now](auto const& entry)
                  { return entry.second.expires_at <= now; });
}

std::uint32_t short_hash(std::string_view address)
{
    return static_cast<std::uint32_t>(stable_hash(address));
}

} // namespace plantaintally::membership
