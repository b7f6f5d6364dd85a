// The stored form of the route table.
#pragma once

#include "base/result.hpp"
#include "routes/route_table.hpp"

#include <string>
#include <string_view>

namespace plantaintally::codec
{

std::string encode_route_table(routes::route_table const& table);

// The table, or what is wrong with the text.
result<routes::route_table> decode_route_table(std::string_view text);

} // namespace plantaintally::codec
