#include "once/epoch.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <charconv>

namespace plantaintally::once
{

namespace
{

// Length of a UUID in its canonical form, and the positions of the digits that
// hold its version and variant.
constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;

bool is_uuid_version_7(std::string_view key)
{
    if (key.size() != uuid_length || key[version_position] != '7')
    {
        return false;
    }
    if (std::string_view("89abAB").find(key[variant_position]) ==
        std::string_view::npos)
    {
        return false;
    }
    for (std::size_t i = 0; i < key.size(); ++i)
    {
        bool const is_dash = i == 8 || i == 13 || i == 18 || i == 23;
        bool const is_hex =
            std::string_view("0123456789abcdefABCDEF").find(key[i]) !=
            std::string_view::npos;
        if (is_dash ? key[i] != '-' : !is_hex)
        {
            return false;
        }
    }
    return true;
}

} // namespace

std::string
cell_of(std::string_view service, std::string_view key, std::uint32_t cells)
{
    std::uint64_t const index =
        cells < 2 ? 0 : stable_hash(key, stable_hash(service)) % cells;
    return std::string(service) + "/" + std::to_string(index);
}

node_id const* home_of(epoch const& within, std::string_view key)
{
    auto const weight = [key](node_id const& member)
    {
        return rendezvous_weight(member.address, key);
    };
    auto const home = std::ranges::max_element(within.members, {}, weight);
    return home == within.members.end() ? nullptr : &*home;
}

std::size_t majority_of(epoch const& within)
{
    return within.vouchers.size() / 2 + 1;
}

std::optional<wall_time> creation_time(std::string_view key)
{
    if (!is_uuid_version_7(key))
    {
        return std::nullopt;
    }
    std::string const digits =
        std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::int64_t milliseconds = 0;
    std::from_chars(
        digits.data(), digits.data() + digits.size(), milliseconds, 16);
    return wall_time(std::chrono::milliseconds(milliseconds));
}

} // namespace plantaintally::once
