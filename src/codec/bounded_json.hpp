// Parses JSON and MessagePack from untrusted senders.
#pragma once

#include "base/result.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace plantaintally::codec
{

// Maximum nesting depth of arrays and objects. The library parses MessagePack
// recursively, so deeper input could exhaust the stack.
inline constexpr std::size_t max_json_depth = 64;

// Parses a JSON text. Malformed or too deeply nested input is an invalid_input
// error, never an exception.
result<nlohmann::json> parse_json(std::string_view text);

// Parses a MessagePack value, with the same errors. Binary values are rejected.
result<nlohmann::json> parse_message_pack(std::span<std::uint8_t const> bytes);

// Writes the value as one line of JSON; invalid UTF-8 is replaced.
std::string write_json(nlohmann::json const& value);

} // namespace plantaintally::codec
