#include "membership/internal/contacts.hpp"

#include "membership/internal/anti_entropy.hpp"
#include "membership/internal/view.hpp"
#include "membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::membership
{

namespace
{

constexpr duration store_timeout = std::chrono::seconds(2);
// Time between two readings of the keys, once the node has peers.
constexpr duration read_interval = std::chrono::minutes(10);
// Time between two attempts while the service is down, at first and at most.
constexpr duration min_retry_delay = std::chrono::seconds(1);
constexpr duration max_retry_delay = std::chrono::seconds(60);
constexpr double read_jitter = 0.5;
// Listed addresses that are contacted after one reading.
constexpr std::size_t contacted_entries = 3;

void begin_call(state& membership,
                store_purpose purpose,
                store_request request,
                std::string key,
                step& current)
{
    auto const call = current.ids.next<store_call_id>();
    membership.contacts.calls[call] = store_call{purpose, std::move(key)};
    current.out.push_back(call_store{
        call, store_client::membership, std::move(request), store_timeout});
}

void read_key(state& membership,
              store_purpose purpose,
              std::string const& key,
              step& current)
{
    begin_call(membership, purpose, store_get{key}, key, current);
}

void write_key(state& membership,
               store_purpose purpose,
               store_entry const& read,
               std::span<std::string const> lines,
               step& current)
{
    store_compare_and_set write;
    write.key = read.key;
    write.expected_revision = read.revision;
    write.value = join_lines(lines);
    begin_call(membership, purpose, std::move(write), read.key, current);
}

// The node knows no other node yet.
bool is_alone(state const& membership)
{
    std::size_t const own = membership.self_record ? 1 : 0;
    return member_count(membership) <= own;
}

void schedule_next(state& membership, duration base, step& current)
{
    membership.contacts.next_read =
        current.now.monotonic +
        draw_jittered(current.random, base, read_jitter);
}

void schedule_retry(state& membership, step& current)
{
    duration& delay = membership.contacts.retry_delay;
    delay = std::clamp(delay * 2, min_retry_delay, max_retry_delay);
    schedule_next(membership, delay, current);
}

// Contacts a few listed nodes that aren't in the view.
void contact_unknown(state& membership,
                     std::vector<std::string> listed,
                     step& current)
{
    std::erase_if(listed,
                  [&](std::string const& address)
                  {
                      return address == membership.own.self.address ||
                             find_member(membership, address) != nullptr;
                  });
    for (std::size_t count = 0; count < contacted_entries && !listed.empty();
         ++count)
    {
        std::size_t const chosen = draw_below(current.random, listed.size());
        compare_views(membership, listed[chosen], current);
        listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

// The list with this node in it, or an empty one if it has no place there. A
// node that is known to be gone gives its place up.
std::vector<std::string> enter_self(state const& membership,
                                    std::vector<std::string> listed)
{
    std::string const& self = membership.own.self.address;
    bool const is_listed =
        std::find(listed.begin(), listed.end(), self) != listed.end();
    if (is_listed || !membership.self_record || membership.is_leaving)
    {
        return {};
    }
    std::erase_if(listed,
                  [&](std::string const& address)
                  { return membership.tombstones.contains(address); });
    if (listed.size() >= max_listed_contacts)
    {
        return {};
    }
    listed.push_back(self);
    return listed;
}

void take_own_zone(state& membership, store_entry const& read, step& current)
{
    std::vector<std::string> const listed = parse_lines(read.value);
    contact_unknown(membership, listed, current);
    std::vector<std::string> const wanted = enter_self(membership, listed);
    if (!wanted.empty())
    {
        write_key(
            membership, store_purpose::write_contacts, read, wanted, current);
        return;
    }
    read_key(membership,
             store_purpose::read_zone_list,
             std::string(zone_list_key),
             current);
}

void take_zone_list(state& membership, store_entry const& read, step& current)
{
    std::vector<std::string> zones = parse_lines(read.value);
    std::string const& own_zone = membership.own.availability_zone;
    bool const is_listed =
        std::find(zones.begin(), zones.end(), own_zone) != zones.end();
    if (!is_listed && membership.self_record)
    {
        zones.push_back(own_zone);
        write_key(
            membership, store_purpose::write_zone_list, read, zones, current);
    }
    std::erase(zones, own_zone);
    if (!zones.empty())
    {
        std::size_t const chosen = draw_below(current.random, zones.size());
        read_key(membership,
                 store_purpose::read_other_zone,
                 contacts_key(zones[chosen]),
                 current);
    }
}

void take_entry(state& membership,
                store_purpose purpose,
                store_entry const& read,
                step& current)
{
    switch (purpose)
    {
    case store_purpose::read_own_zone:
        take_own_zone(membership, read, current);
        return;
    case store_purpose::read_zone_list:
        take_zone_list(membership, read, current);
        return;
    case store_purpose::read_other_zone:
        contact_unknown(membership, parse_lines(read.value), current);
        return;
    case store_purpose::write_contacts:
    case store_purpose::write_zone_list:
        return;
    }
}

void take_written(state& membership, store_purpose purpose, step& current)
{
    if (purpose == store_purpose::write_contacts)
    {
        membership.contacts.is_listed = true;
        read_key(membership,
                 store_purpose::read_zone_list,
                 std::string(zone_list_key),
                 current);
    }
}

} // namespace

std::string contacts_key(std::string_view availability_zone)
{
    return "plantaintally/contacts/" + std::string(availability_zone);
}

std::vector<std::string> parse_lines(std::string_view text)
{
    std::vector<std::string> lines;
    while (!text.empty())
    {
        std::size_t const end = std::min(text.find('\n'), text.size());
        if (end > 0)
        {
            lines.emplace_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string join_lines(std::span<std::string const> lines)
{
    std::string text;
    for (std::string const& line : lines)
    {
        text += line;
        text += '\n';
    }
    return text;
}

void refresh_contacts(state& membership, step& current)
{
    if (current.now.monotonic < membership.contacts.next_read)
    {
        return;
    }
    read_key(membership,
             store_purpose::read_own_zone,
             contacts_key(membership.own.availability_zone),
             current);
    if (is_alone(membership))
    {
        schedule_retry(membership, current);
        return;
    }
    membership.contacts.retry_delay = {};
    schedule_next(membership, read_interval, current);
}

void handle_contacts(state& membership,
                     store_call_id call,
                     store_result const& result,
                     step& current)
{
    auto const place = membership.contacts.calls.find(call);
    if (place == membership.contacts.calls.end())
    {
        return;
    }
    store_call const made = place->second;
    membership.contacts.calls.erase(place);
    if (auto const* entry = std::get_if<store_entry>(&result))
    {
        take_entry(membership, made.purpose, *entry, current);
    }
    else if (std::holds_alternative<store_missing>(result))
    {
        take_entry(
            membership, made.purpose, store_entry{made.key, "", 0}, current);
    }
    else if (std::holds_alternative<store_written>(result))
    {
        take_written(membership, made.purpose, current);
    }
    else
    {
        // A conflict, or the service is down: begin again after a while.
        schedule_retry(membership, current);
    }
}

} // namespace plantaintally::membership
