// Hash functions whose results are the same in every process of the fleet
// (xxHash).
#pragma once

#include <cstdint>
#include <string_view>

namespace plantaintally
{

// Returns a 64-bit hash of the text. It is the same in every process and must
// not change between versions.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Returns the weight of a node for a key in rendezvous hashing. The node with
// the highest weight is the key's home.
std::uint64_t rendezvous_weight(std::string_view node_address,
                                std::string_view key);

} // namespace plantaintally
