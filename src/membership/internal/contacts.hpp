// Contact lists in the platform's key-value store: one small key for each
// availability zone, and one that lists the zones. A node reads the key of its
// own zone, adds itself if there is room or a listed node is gone, and also
// reads the key of another zone, which reconnects parts of the fleet that have
// lost contact with each other. Listed nodes that don't answer lose their
// places to nodes that run. See docs/MEMBERSHIP.md.
#pragma once

#include "membership/state.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::membership
{

// Maximum number of addresses listed for an availability zone.
inline constexpr std::size_t max_listed_contacts = 16;

// The key of the list of availability zones.
inline constexpr std::string_view zone_list_key = "plantaintally/zones";

// The key of a zone's contacts.
std::string contacts_key(std::string_view availability_zone);

// Lists are stored with one entry per line.
std::vector<std::string> parse_lines(std::string_view text);
std::string join_lines(std::span<std::string const> lines);

// Contacts listed nodes, and starts reading the contact lists, if that is due.
void refresh_contacts(state& membership, step& current);
// When refresh_contacts next has something to do.
instant next_contact_refresh(state const& membership);

// Has the contact lists read soon if too few of the listed nodes of the own
// availability zone are left.
void check_live_contacts(state& membership, step& current);

// Has this node listed soon if it needs to be, now that it is a member.
void list_new_member(state& membership, step& current);

// Has the contact lists checked soon if this node was listed, since the
// key-value store may have lost the entry.
void recheck_contacts(state& membership, step& current);

// Handles the result of a store call that was started for the contact lists;
// ignores calls that were not.
void handle_contacts(state& membership,
                     store_call_id call,
                     store_result const& result,
                     step& current);

} // namespace plantaintally::membership
