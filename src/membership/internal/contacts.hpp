// Contacts by the platform's service: one small key for each availability
// zone, and one that lists the zones. A node reads its own zone's key, enters
// itself if there is room, and now and then looks at another zone, which also
// joins parts of the fleet that have lost each other.
#pragma once

#include "membership/state.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::membership
{

// Most addresses listed for an availability zone.
inline constexpr std::size_t max_listed_contacts = 16;

// The key of the list of availability zones.
inline constexpr std::string_view zone_list_key = "plantaintally/zones";

// The key of a zone's contacts.
std::string contacts_key(std::string_view availability_zone);

// Lists are stored as one entry a line.
std::vector<std::string> parse_lines(std::string_view text);
std::string join_lines(std::span<std::string const> lines);

// Reads the keys if that is due.
void refresh_contacts(state& membership, step& current);

// Takes the result of a call that refresh_contacts has begun.
void handle_contacts(state& membership,
                     store_call_id call,
                     store_result const& result,
                     step& current);

} // namespace plantaintally::membership
