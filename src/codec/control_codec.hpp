// Encodes control messages between nodes as MessagePack.
#pragma once

#include "base/result.hpp"
#include "messages/control_message.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace plantaintally::codec
{

// Maximum size of an encoded control message, in bytes; larger ones are not
// decoded.
inline constexpr std::size_t max_control_message_bytes = 4U << 20U;

std::vector<std::uint8_t> encode_control(control_envelope const& envelope);

// Decodes a control message. Errors: too_large; invalid_input if the bytes are
// not MessagePack, the kind is unknown or a field has the wrong type. Unknown
// fields are ignored and missing ones keep their defaults, so that nodes of
// adjacent versions can exchange messages.
result<control_envelope> decode_control(std::span<std::uint8_t const> bytes);

// The "kind" member of the encoded message; also used as a metric label.
std::string_view control_kind(control_message const& message);

} // namespace plantaintally::codec
