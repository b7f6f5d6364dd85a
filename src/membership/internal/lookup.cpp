#include "membership/internal/lookup.hpp"

#include "membership/internal/anti_entropy.hpp"
#include "membership/internal/view.hpp"
#include "membership/membership.hpp"

#include <algorithm>

namespace plantaintally::membership
{

namespace
{

// Number of peers queried for the members of an unknown service, how long their
// answers are awaited, and how long a negative result is reused.
constexpr std::size_t lookup_fanout = 3;
constexpr duration lookup_timeout = std::chrono::milliseconds(500);
constexpr duration lookup_lifetime = std::chrono::seconds(5);
// Maximum number of lookups kept at a time, since callers can send arbitrary
// service names.
constexpr std::size_t max_service_lookups = 256;

} // namespace

void expire_service_lookups(state& membership, instant now)
{
    std::erase_if(membership.service_lookups,
                  [now](auto const& entry)
                  { return now - entry.second.asked_at >= lookup_lifetime; });
}

std::span<member_record const> members_of(state const& membership,
                                          std::string_view service)
{
    auto const found = membership.services.find(service);
    if (found == membership.services.end())
    {
        return {};
    }
    return found->second;
}

lookup_status
look_up_service(state& membership, std::string_view service, step& current)
{
    if (!members_of(membership, service).empty())
    {
        return lookup_status::known;
    }
    instant const now = current.now.monotonic;
    bool const is_new = !membership.service_lookups.contains(service);
    if (is_new && membership.service_lookups.size() >= max_service_lookups)
    {
        return lookup_status::absent;
    }
    auto const place =
        membership.service_lookups.try_emplace(std::string(service)).first;
    service_lookup& lookup = place->second;
    bool const is_open =
        lookup.asked_peers > 0 && now - lookup.asked_at < lookup_lifetime;
    if (!is_open)
    {
        lookup = service_lookup{};
        lookup.asked_at = now;
        for (std::string const& address :
             draw_peers(membership, lookup_fanout, current))
        {
            request_service_records(membership, service, address, current);
            lookup.asked_peers += 1;
        }
    }
    bool const is_settled = lookup.negative_answers >= lookup.asked_peers ||
                            now - lookup.asked_at >= lookup_timeout;
    return is_settled ? lookup_status::absent : lookup_status::pending;
}

member_record const* find_member(state const& membership,
                                 std::string_view address)
{
    member_record const* const held = find_record(membership, address);
    bool const is_live = held != nullptr && held->status != member_status::gone;
    return is_live ? held : nullptr;
}

std::uint64_t view_version(state const& membership)
{
    return membership.view_version;
}

std::size_t member_count(state const& membership)
{
    return membership.service_by_address.size();
}

std::vector<std::string>
draw_peers(state const& membership, std::size_t count, step& current)
{
    std::string const& self = membership.startup_options.self.address;
    bool const holds_self = membership.service_by_address.contains(self);
    std::size_t const total = member_count(membership);
    std::size_t const available = total - (holds_self ? 1 : 0);
    std::vector<std::string> drawn;
    if (available == 0)
    {
        drawn = membership.startup_options.contacts;
        std::erase(drawn, self);
        while (drawn.size() > count)
        {
            drawn.erase(drawn.begin() + static_cast<std::ptrdiff_t>(draw_below(
                                            current.random, drawn.size())));
        }
        return drawn;
    }
    while (drawn.size() < std::min(count, available))
    {
        std::size_t index = draw_below(current.random, total);
        auto service = membership.services.begin();
        while (index >= service->second.size())
        {
            index -= service->second.size();
            ++service;
        }
        std::string const& address = service->second[index].node.address;
        bool const is_drawn =
            std::find(drawn.begin(), drawn.end(), address) != drawn.end();
        if (address != self && !is_drawn)
        {
            drawn.push_back(address);
        }
    }
    return drawn;
}

std::vector<member_record> all_members(state const& membership)
{
    std::vector<member_record> members;
    members.reserve(member_count(membership));
    for (auto const& [service, records] : membership.services)
    {
        members.insert(members.end(), records.begin(), records.end());
    }
    std::sort(members.begin(),
              members.end(),
              [](member_record const& left, member_record const& right)
              { return left.node.address < right.node.address; });
    return members;
}

} // namespace plantaintally::membership
