#include "codec/control_codec.hpp"

#include "codec/bounded_json.hpp"
#include "codec/internal/control_json.hpp"
#include "codec/internal/decode.hpp"

namespace plantaintally::codec
{

std::vector<std::uint8_t> encode_control(control_envelope const& envelope)
{
    return json::to_msgpack(write_value(envelope));
}

result<control_envelope> decode_control(std::span<std::uint8_t const> bytes)
{
    if (bytes.size() > max_control_message_bytes)
    {
        return fail(errc::too_large, "control message: too large");
    }
    return decode_value<control_envelope>(parse_message_pack(bytes),
                                          "control message");
}

std::string_view control_kind(control_message const& message)
{
    return kinds<control_message>::name(message);
}

} // namespace plantaintally::codec
