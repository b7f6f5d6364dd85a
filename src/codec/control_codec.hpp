// Control messages between nodes as MessagePack.
#pragma once

#include "base/result.hpp"
#include "messages/control_message.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace plantaintally::codec
{

// Longest control message that is decoded, in bytes.
inline constexpr std::size_t max_control_message_bytes = 4U << 20U;

std::vector<std::uint8_t> encode_control(control_envelope const& envelope);

// The message, or why the bytes are none: too large, not MessagePack, an
// unknown kind, or a field of the wrong type. Unknown fields are ignored and
// missing ones keep their defaults, so that versions can differ by one.
result<control_envelope> decode_control(std::span<std::uint8_t const> bytes);

// The name of the message's type, as it stands in the encoded form; used as a
// label of metrics.
std::string_view control_kind(control_message const& message);

} // namespace plantaintally::codec
