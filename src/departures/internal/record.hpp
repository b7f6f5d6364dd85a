// The stored record of a node's departures: one line for each incarnation,
// oldest first, with its start time in milliseconds since the Unix epoch, a
// space and its name.
#pragma once

#include "messages/request_types.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::departures
{

// Maximum number of departed incarnations that are kept. Reports arrive at most
// seconds late, and no upstream is restarted this often in that time.
inline constexpr std::size_t max_departed = 32;

std::string encode_record(std::span<upstream_incarnation const> departed);

// Decodes a record. Malformed lines are skipped.
std::vector<upstream_incarnation> decode_record(std::string_view text);

// Adds an incarnation. If the name is already present, keeps the later start
// time. Drops the oldest entry beyond max_departed.
void add_departed(std::vector<upstream_incarnation>& departed,
                  upstream_incarnation const& incarnation);

// Returns true if this incarnation, or a later one of the same name, has
// departed.
bool has_departed(std::span<upstream_incarnation const> departed,
                  upstream_incarnation const& incarnation);

} // namespace plantaintally::departures
