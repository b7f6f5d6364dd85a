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
// Interval between reads of the contact lists once the node knows peers.
constexpr duration read_interval = std::chrono::minutes(10);
// First and longest delay between reads while the node knows no peer or the
// store is unavailable.
constexpr duration min_retry_delay = std::chrono::seconds(1);
constexpr duration max_retry_delay = std::chrono::seconds(60);
constexpr double read_jitter = 0.5;
// Listed nodes check the lists at random times within this window after the
// store has come back from an older copy.
constexpr duration recheck_window = std::chrono::seconds(1);
// Maximum number of listed addresses contacted after one read.
constexpr std::size_t max_contacted_nodes = 3;

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

// True if the node knows no other node yet.
bool knows_no_peers(state const& membership)
{
    std::size_t const self_count = membership.self_record ? 1 : 0;
    return member_count(membership) <= self_count;
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

// Starts comparing views with a few listed nodes that are not in the view.
void contact_unknown_nodes(state& membership,
                           std::vector<std::string> listed,
                           step& current)
{
    std::erase_if(listed,
                  [&](std::string const& address)
                  {
                      return address ==
                                 membership.startup_options.self.address ||
                             find_member(membership, address) != nullptr;
                  });
    for (std::size_t count = 0; count < max_contacted_nodes && !listed.empty();
         ++count)
    {
        std::size_t const chosen = draw_below(current.random, listed.size());
        compare_views(membership, listed[chosen], current);
        listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

// The list with this node added and the nodes known to be gone removed, or an
// empty list if this node need not or cannot be added.
std::vector<std::string> add_self_to_list(state const& membership,
                                          std::vector<std::string> listed)
{
    std::string const& self = membership.startup_options.self.address;
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

void handle_own_zone_contacts(state& membership,
                              store_entry const& read,
                              step& current)
{
    std::vector<std::string> const listed = parse_lines(read.value);
    contact_unknown_nodes(membership, listed, current);
    membership.contacts.is_listed =
        std::find(listed.begin(),
                  listed.end(),
                  membership.startup_options.self.address) != listed.end();
    std::vector<std::string> const wanted =
        add_self_to_list(membership, listed);
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

void handle_zone_list(state& membership, store_entry const& read, step& current)
{
    std::vector<std::string> zones = parse_lines(read.value);
    std::string const& own_zone = membership.startup_options.availability_zone;
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

void handle_read_entry(state& membership,
                       store_purpose purpose,
                       store_entry const& read,
                       step& current)
{
    switch (purpose)
    {
    case store_purpose::read_own_zone:
        handle_own_zone_contacts(membership, read, current);
        return;
    case store_purpose::read_zone_list:
        handle_zone_list(membership, read, current);
        return;
    case store_purpose::read_other_zone:
        contact_unknown_nodes(membership, parse_lines(read.value), current);
        return;
    case store_purpose::write_contacts:
    case store_purpose::write_zone_list:
        return;
    }
}

void handle_write_done(state& membership, store_purpose purpose, step& current)
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
             contacts_key(membership.startup_options.availability_zone),
             current);
    if (knows_no_peers(membership))
    {
        schedule_retry(membership, current);
        return;
    }
    membership.contacts.retry_delay = {};
    schedule_next(membership, read_interval, current);
}

void recheck_contacts(state& membership, step& current)
{
    if (!membership.contacts.is_listed)
    {
        return;
    }
    instant const due = current.now.monotonic +
                        std::chrono::duration_cast<duration>(
                            recheck_window * draw_fraction(current.random));
    membership.contacts.next_read =
        std::min(membership.contacts.next_read, due);
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
    store_call const answered_call = place->second;
    membership.contacts.calls.erase(place);
    if (auto const* entry = std::get_if<store_entry>(&result))
    {
        handle_read_entry(membership, answered_call.purpose, *entry, current);
    }
    else if (std::holds_alternative<store_missing>(result))
    {
        handle_read_entry(membership,
                          answered_call.purpose,
                          store_entry{answered_call.key, "", 0},
                          current);
    }
    else if (std::holds_alternative<store_written>(result))
    {
        handle_write_done(membership, answered_call.purpose, current);
    }
    else
    {
        // The write conflicted or the store is unavailable: start again later.
        schedule_retry(membership, current);
    }
}

} // namespace plantaintally::membership
