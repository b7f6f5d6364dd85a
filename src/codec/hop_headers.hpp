// The fields that one node adds to a request or an answer for the next, as
// HTTP headers: one header a field, its value as JSON in ASCII.
#pragma once

#include "base/result.hpp"
#include "messages/request_types.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::codec
{

// Prefixes of the header names.
inline constexpr std::string_view hop_prefix = "Plantaintally-Hop-";
inline constexpr std::string_view report_prefix = "Plantaintally-Report-";

struct header_field
{
    std::string name;
    std::string value;
};

std::vector<header_field> encode_hop_context(hop_context const& hop);
std::vector<header_field> encode_hop_report(hop_report const& report);

// The typed fields, or why the headers are none. Headers without the prefix
// are ignored, and so are unknown fields; missing ones keep their defaults.
// Names are compared without regard to case.
result<hop_context> decode_hop_context(std::span<header_field const> headers);
result<hop_report> decode_hop_report(std::span<header_field const> headers);

// True if the header's name begins with the prefix, in any case.
bool has_prefix(std::string_view name, std::string_view prefix);

} // namespace plantaintally::codec
