#include "membership/internal/contacts.hpp"
#include "membership/internal/send.hpp"
#include "membership/membership.hpp"

#include <utility>

namespace plantaintally::membership
{

namespace
{

// Number of random peers that each node informs of a new era of the key-value
// store.
constexpr std::size_t era_notice_fanout = 4;

} // namespace

void note_store_era(state& membership, std::uint64_t era, step& current)
{
    if (era <= membership.store_era)
    {
        return;
    }
    std::uint64_t const before = std::exchange(membership.store_era, era);
    if (before == 0)
    {
        return;
    }
    record(current,
           "",
           "membership",
           "store-restored",
           "era=" + std::to_string(era) + " before=" + std::to_string(before));
    for (std::string const& address :
         draw_peers(membership, era_notice_fanout, current))
    {
        send(address, store_era_notice{era}, current);
    }
    recheck_contacts(membership, current);
}

std::uint64_t store_era(state const& membership)
{
    return membership.store_era;
}

} // namespace plantaintally::membership
