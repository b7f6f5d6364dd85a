#include "codec/route_table_codec.hpp"

#include "codec/bounded_json.hpp"
#include "codec/internal/decode.hpp"
#include "codec/internal/routes_json.hpp"

namespace plantaintally::codec
{

std::string encode_route_table(routes::route_table const& table)
{
    return write_json(write_value(table));
}

result<routes::route_table> decode_route_table(std::string_view text)
{
    return decode_value<routes::route_table>(parse_json(text), "route table");
}

} // namespace plantaintally::codec
