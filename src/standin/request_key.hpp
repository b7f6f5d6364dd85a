// Idempotency keys that carry their time (UUIDv7, RFC 9562).
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace plantaintally::standin
{

// A UUIDv7 of this time, in milliseconds since the Unix epoch.
std::string make_uuidv7(std::uint64_t unix_ms, std::mt19937_64& random);

// The key of a downstream call: the same for the same parent and label, with
// the parent's time if the parent is a UUIDv7.
std::string derive_key(std::string_view parent, std::string_view label);

} // namespace plantaintally::standin
