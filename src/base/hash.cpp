#include "base/hash.hpp"

#include <xxhash.h>

namespace plantaintally
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view node_address,
                                std::string_view key)
{
    return stable_hash(key, stable_hash(node_address));
}

} // namespace plantaintally
