// Encodes the route table as JSON, the format in which it is stored.
#pragma once

#include "base/result.hpp"
#include "routes/route_table.hpp"

#include <string>
#include <string_view>

namespace plantaintally::codec
{

std::string encode_route_table(routes::route_table const& table);

// Decodes a route table. Error: invalid_input if the text is malformed.
result<routes::route_table> decode_route_table(std::string_view text);

} // namespace plantaintally::codec
