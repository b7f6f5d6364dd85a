#include "membership/internal/contacts.hpp"

#include "membership/internal/anti_entropy.hpp"
#include "membership/internal/contact_attempts.hpp"
#include "membership/internal/view.hpp"
#include "membership/membership.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace plantaintally::membership
{

namespace
{

// Usual timeout of a call.
constexpr duration store_timeout = std::chrono::seconds(2);
// Interval between reads of the contact lists once the node knows peers.
constexpr duration read_interval = std::chrono::minutes(10);
// First delay between reads while the node has not joined the fleet or the
// store is unavailable, and the longest delay in either case.
constexpr duration min_retry_delay = std::chrono::seconds(1);
constexpr duration max_join_delay = std::chrono::seconds(8);
constexpr duration max_outage_delay = std::chrono::seconds(60);
constexpr double read_jitter = 0.5;
// Nodes that could not join because the store was unavailable read the lists at
// random times within this window after it has answered again.
constexpr duration return_window = std::chrono::seconds(2);
// Listed nodes check the lists at random times within this window after the
// store has come back from an older copy.
constexpr duration recheck_window = std::chrono::seconds(1);
// A zone's list needs this many live contacts.
constexpr std::size_t min_live_contacts = max_contacted_nodes;

void begin_call(state& membership,
                store_purpose purpose,
                store_request request,
                std::string key,
                step& current)
{
    auto const call = current.ids.next<store_call_id>();
    membership.contacts.calls[call] = store_call{purpose, std::move(key)};
    duration const timeout = begin_patient_call(membership.contacts.patience,
                                                call,
                                                store_timeout,
                                                current.now.monotonic);
    current.out.push_back(call_store{
        call, store_client::membership, std::move(request), timeout});
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

void schedule_retry(state& membership, duration max_delay, step& current)
{
    duration& delay = membership.contacts.retry_delay;
    delay = std::clamp(delay * 2, min_retry_delay, max_delay);
    schedule_next(membership, delay, current);
}

void schedule_regular_read(state& membership, step& current)
{
    membership.contacts.retry_delay = {};
    schedule_next(membership, read_interval, current);
}

void read_within(state& membership, duration window, step& current)
{
    instant const due =
        current.now.monotonic + std::chrono::duration_cast<duration>(
                                    window * draw_fraction(current.random));
    membership.contacts.next_read =
        std::min(membership.contacts.next_read, due);
}

// True if newcomers may not find the members of this node's zone unless this
// node adds itself or the zone: the zone is not listed, or has too few live
// contacts.
bool needs_listing(state const& membership)
{
    contact_directory const& contacts = membership.contacts;
    if (!membership.self_record || membership.is_leaving)
    {
        return false;
    }
    bool const is_zone_listed =
        std::ranges::find(contacts.zones,
                          membership.startup_options.availability_zone) !=
        contacts.zones.end();
    return !is_zone_listed ||
           (!contacts.is_listed &&
            count_live_contacts(membership) < min_live_contacts);
}

std::set<std::string_view> zones_of_members(state const& membership)
{
    std::set<std::string_view> zones;
    for (auto const& [service, records] : membership.services)
    {
        for (member_record const& record : records)
        {
            zones.insert(record.availability_zone);
        }
    }
    return zones;
}

// True if a member of each listed availability zone is known.
bool knows_all_zones(state const& membership)
{
    auto const known = zones_of_members(membership);
    return std::ranges::all_of(
        membership.contacts.zones,
        [&](std::string const& zone)
        {
            return zone == membership.startup_options.availability_zone ||
                   known.contains(zone);
        });
}

// True if this node knows the fleet, and the fleet's newcomers can find it.
bool has_joined(state const& membership)
{
    return !knows_no_peers(membership) && !needs_listing(membership) &&
           knows_all_zones(membership);
}

contact_order order_of_contacts(state const& membership)
{
    return membership.contacts.retry_delay <= min_retry_delay
               ? contact_order::random
               : contact_order::latest_first;
}

// The contacts on a stored list; ignores what is beyond its limit.
std::vector<std::string> parse_contacts(std::string_view text)
{
    std::vector<std::string> listed = parse_lines(text);
    if (listed.size() > max_listed_contacts)
    {
        listed.resize(max_listed_contacts);
    }
    return listed;
}

// The list with this node added, and nodes that are gone or silent removed, or
// an empty list if this node need not or cannot be added. A node that knows no
// other may itself be cut off, so it takes the place of one silent node at
// most.
std::vector<std::string> add_self_to_list(state const& membership,
                                          std::vector<std::string> listed,
                                          instant now)
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
    auto const is_replaceable = [&](std::string const& address)
    {
        return is_silent(membership, address, now);
    };
    if (!knows_no_peers(membership))
    {
        std::erase_if(listed, is_replaceable);
    }
    else if (listed.size() >= max_listed_contacts)
    {
        auto const found = std::ranges::find_if(listed, is_replaceable);
        if (found != listed.end())
        {
            listed.erase(found);
        }
    }
    if (listed.size() >= max_listed_contacts)
    {
        return {};
    }
    listed.push_back(self);
    return listed;
}

// Replaces what is known of the own zone's list, and forgets attempts to reach
// nodes that are not on it.
void note_own_zone(state& membership, std::vector<std::string> listed)
{
    contact_directory& contacts = membership.contacts;
    contacts.is_listed =
        std::ranges::find(listed, membership.startup_options.self.address) !=
        listed.end();
    std::erase_if(
        contacts.attempts,
        [&](auto const& attempt)
        { return std::ranges::find(listed, attempt.first) == listed.end(); });
    contacts.own_zone = std::move(listed);
    contacts.most_live = 0;
}

void handle_own_zone_contacts(state& membership,
                              store_entry const& read,
                              step& current)
{
    std::vector<std::string> const listed = parse_contacts(read.value);
    note_own_zone(membership, listed);
    contact_unknown_nodes(
        membership, listed, order_of_contacts(membership), current);
    std::vector<std::string> const wanted =
        add_self_to_list(membership, listed, current.now.monotonic);
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

// Reads the contacts of another availability zone, if possible of one of which
// no member is known.
void read_other_zone(state& membership, step& current)
{
    std::vector<std::string> zones = membership.contacts.zones;
    std::erase(zones, membership.startup_options.availability_zone);
    if (zones.empty())
    {
        return;
    }
    auto const known = zones_of_members(membership);
    auto const unknown = std::partition(zones.begin(),
                                        zones.end(),
                                        [&](std::string const& zone)
                                        { return known.contains(zone); });
    std::span<std::string const> const choice(
        unknown == zones.end() ? zones.begin() : unknown, zones.end());
    read_key(membership,
             store_purpose::read_other_zone,
             contacts_key(choice[draw_below(current.random, choice.size())]),
             current);
}

void handle_zone_list(state& membership, store_entry const& read, step& current)
{
    std::vector<std::string> zones = parse_lines(read.value);
    std::string const& own_zone = membership.startup_options.availability_zone;
    membership.contacts.zones = zones;
    bool const is_listed =
        std::find(zones.begin(), zones.end(), own_zone) != zones.end();
    if (!is_listed && membership.self_record)
    {
        zones.push_back(own_zone);
        write_key(
            membership, store_purpose::write_zone_list, read, zones, current);
    }
    read_other_zone(membership, current);
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
        contact_unknown_nodes(membership,
                              parse_contacts(read.value),
                              order_of_contacts(membership),
                              current);
        return;
    case store_purpose::write_contacts:
    case store_purpose::write_zone_list:
        return;
    }
}

void handle_write_done(state& membership, store_purpose purpose, step& current)
{
    if (purpose == store_purpose::write_zone_list)
    {
        membership.contacts.zones.push_back(
            membership.startup_options.availability_zone);
    }
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
    contact_directory& contacts = membership.contacts;
    continue_contacting(membership, current);
    if (current.now.monotonic < contacts.next_read)
    {
        return;
    }
    bool const is_retry = contacts.retry_delay > duration::zero();
    if (is_retry && !contacts.is_store_unavailable && has_joined(membership))
    {
        // Nodes that joined at the same time through other contacts may not
        // know each other yet.
        for (std::string const& address :
             draw_peers(membership, max_contacted_nodes, current))
        {
            compare_views(membership, address, current);
        }
        schedule_regular_read(membership, current);
        return;
    }
    read_key(membership,
             store_purpose::read_own_zone,
             contacts_key(membership.startup_options.availability_zone),
             current);
    bool const is_retry_due =
        knows_no_peers(membership) ||
        (contacts.retry_delay < max_join_delay && !has_joined(membership) &&
         is_volunteer(membership, current));
    if (is_retry_due)
    {
        schedule_retry(membership, max_join_delay, current);
        return;
    }
    schedule_regular_read(membership, current);
}

instant next_contact_refresh(state const& membership)
{
    contact_directory const& contacts = membership.contacts;
    return contacts.pending.empty()
               ? contacts.next_read
               : std::min(contacts.next_read, contacts.next_contact);
}

void check_live_contacts(state& membership, step& current)
{
    contact_directory& contacts = membership.contacts;
    std::size_t const live = count_live_contacts(membership);
    if (live >= contacts.most_live)
    {
        contacts.most_live = live;
        return;
    }
    if (needs_listing(membership))
    {
        contacts.most_live = live;
        if (is_volunteer(membership, current))
        {
            read_within(membership, recheck_window, current);
        }
    }
}

void list_new_member(state& membership, step& current)
{
    contact_directory& contacts = membership.contacts;
    bool const has_read = !contacts.own_zone.empty() || !contacts.zones.empty();
    if (has_read && needs_listing(membership))
    {
        contacts.retry_delay = std::max(contacts.retry_delay, min_retry_delay);
        read_within(membership, recheck_window, current);
    }
}

void recheck_contacts(state& membership, step& current)
{
    if (membership.contacts.is_listed)
    {
        read_within(membership, recheck_window, current);
    }
}

void note_store_reply(state& membership,
                      store_call_id call,
                      store_result const& result,
                      step& current)
{
    contact_directory& contacts = membership.contacts;
    bool const is_answer = !std::holds_alternative<store_unavailable>(result);
    if (is_answer)
    {
        for (store_call_id const overtaken : take_overtaken_calls(
                 contacts.patience, call, current.now.monotonic))
        {
            handle_contacts(
                membership, overtaken, store_unavailable{true}, current);
        }
    }
    if (!is_answer || !std::exchange(contacts.is_store_unavailable, false) ||
        has_joined(membership))
    {
        return;
    }
    contacts.retry_delay = {};
    read_within(membership, return_window, current);
}

void handle_contacts(state& membership,
                     store_call_id call,
                     store_result const& result,
                     step& current)
{
    bool const is_timed_out = note_call_result(
        membership.contacts.patience, call, result, current.now.monotonic);
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
    else if (std::holds_alternative<store_conflict>(result))
    {
        schedule_retry(membership, max_join_delay, current);
    }
    else
    {
        membership.contacts.is_store_unavailable = true;
        if (is_timed_out && !has_joined(membership))
        {
            // The longer timeout takes the place of a longer delay.
            membership.contacts.retry_delay = {};
        }
        schedule_retry(membership, max_outage_delay, current);
    }
}

} // namespace plantaintally::membership
