// What one node adds to a request or an answer for the next, as one HTTP header
// each: a JSON array of the fields in their order, in ASCII. It stands on every
// hop between availability zones, so it names no fields.
#pragma once

#include "base/result.hpp"
#include "messages/request_types.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::codec
{

inline constexpr std::string_view hop_header = "Plantaintally-Hop";
inline constexpr std::string_view report_header = "Plantaintally-Report";

struct header_field
{
    std::string name;
    std::string value;
};

header_field encode_hop_context(hop_context const& hop);
header_field encode_hop_report(hop_report const& report);

// The typed fields, or why the header is none. Further elements of the array
// are ignored; missing ones, and a missing header, keep their defaults. Names
// are compared without regard to case.
result<hop_context> decode_hop_context(std::span<header_field const> headers);
result<hop_report> decode_hop_report(std::span<header_field const> headers);

// True if the header's name begins with the prefix, in any case.
bool has_prefix_ignoring_case(std::string_view name, std::string_view prefix);

} // namespace plantaintally::codec
