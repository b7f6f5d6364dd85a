// Encodes the context that a node adds to a request, and the report that it
// adds to an answer, as one HTTP header each: a JSON array of the fields in a
// fixed order, in ASCII. Every hop between availability zones carries the
// headers, so they omit the field names to stay short.
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
// Between nodes, precedes the name of a caller's header that nodes would
// otherwise interpret as their own.
inline constexpr std::string_view forwarded_prefix = "Plantaintally-Forwarded-";

struct header_field
{
    std::string name;
    std::string value;
};

header_field encode_hop_context(hop_context const& hop);
header_field encode_hop_report(hop_report const& report);

// Decodes the fields. Error: invalid_input if the header is malformed.
// Additional array elements are ignored; fields whose element or whole header
// is missing keep their defaults. Header names are compared ignoring case.
result<hop_context> decode_hop_context(std::span<header_field const> headers);
result<hop_report> decode_hop_report(std::span<header_field const> headers);

// True if the name starts with the prefix, ignoring ASCII case.
bool has_prefix_ignoring_case(std::string_view name, std::string_view prefix);

} // namespace plantaintally::codec
