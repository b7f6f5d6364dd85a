// Parsing of JSON and MessagePack from untrusted senders.
#pragma once

#include "base/result.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace plantaintally::codec
{

// Deepest nesting of arrays and objects that is parsed. The library reads
// MessagePack recursively, so that deeper input could exhaust the stack.
inline constexpr std::size_t max_json_depth = 64;

// The value, or why the text is none. Never throws for bad input.
result<nlohmann::json> parse_json(std::string_view text);

// The value, or why the bytes are none. Never throws for bad input.
result<nlohmann::json> parse_message_pack(std::span<std::uint8_t const> bytes);

// One line of JSON; bytes that are not UTF-8 are replaced.
std::string write_json(nlohmann::json const& value);

} // namespace plantaintally::codec
