#include "standin/request_key.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

namespace plantaintally::standin
{

namespace
{

constexpr std::size_t uuid_length = 36;
// "tttttttt-tttt": the 48-bit timestamp, in hexadecimal.
constexpr std::size_t time_prefix_length = 13;
constexpr std::size_t version_position = 14;

std::string format_uuidv7(std::string_view time_prefix,
                          std::uint64_t high,
                          std::uint64_t low)
{
    constexpr std::uint64_t twelve_bit_mask = 0xfff;
    constexpr std::uint64_t fourteen_bit_mask = 0x3fff;
    constexpr std::uint64_t forty_eight_bit_mask = 0xffffffffffff;
    constexpr std::uint64_t variant_bits = 0x8000;
    std::array<char, uuid_length + 1> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%.13s-7%03x-%04x-%012llx",
                  std::string(time_prefix).c_str(),
                  static_cast<unsigned>(high & twelve_bit_mask),
                  static_cast<unsigned>(variant_bits |
                                        ((high >> 16U) & fourteen_bit_mask)),
                  static_cast<unsigned long long>(low & forty_eight_bit_mask));
    return text.data();
}

bool is_uuidv7(std::string_view text)
{
    return text.size() == uuid_length && text[version_position] == '7' &&
           std::all_of(text.begin(),
                       text.begin() + 8,
                       [](unsigned char c) { return std::isxdigit(c) != 0; });
}

} // namespace

std::string make_uuidv7(std::uint64_t unix_ms, std::mt19937_64& random)
{
    std::array<char, time_prefix_length + 1> time_prefix{};
    std::snprintf(
        time_prefix.data(),
        time_prefix.size(),
        "%08llx-%04llx",
        static_cast<unsigned long long>((unix_ms >> 16U) & 0xffffffffU),
        static_cast<unsigned long long>(unix_ms & 0xffffU));
    return format_uuidv7(time_prefix.data(), random(), random());
}

std::string derive_key(std::string_view parent, std::string_view label)
{
    auto const high = stable_hash(parent, stable_hash(label));
    auto const low = stable_hash(label, stable_hash(parent));
    if (!is_uuidv7(parent))
    {
        return std::string(parent) + "." + std::string(label);
    }
    return format_uuidv7(parent.substr(0, time_prefix_length), high, low);
}

} // namespace plantaintally::standin
