// Idempotency keys with an embedded timestamp (UUIDv7, RFC 9562).
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace plantaintally::standin
{

// Returns a UUIDv7 with the timestamp `unix_ms`, in milliseconds since the Unix
// epoch.
std::string make_uuidv7(std::uint64_t unix_ms, std::mt19937_64& random);

// Returns the key of a downstream call, derived deterministically from the key
// of the parent request and a label of the call. If the parent is a UUIDv7, so
// is the result, with the same timestamp; otherwise it is "parent.label".
std::string derive_key(std::string_view parent, std::string_view label);

} // namespace plantaintally::standin
