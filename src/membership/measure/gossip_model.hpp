// The rounds of gossip alone, with the constants of the reducer but without
// its views, for fleets whose views don't fit into one machine.
#pragma once

#include "base/moment.hpp"

#include <cstddef>
#include <cstdint>

namespace plantaintally::measure
{

// What is spread, and among whom.
struct gossip_setting
{
    std::size_t nodes = 0;
    // Items that come up at the same time, each at another node.
    std::size_t items = 1;
    double loss = 0;
    std::uint64_t seed = 1;
};

struct gossip_figures
{
    // Until 99 in 100 of all pairs of node and item, and until the last that
    // gossip reaches.
    duration most{};
    duration last{};
    // Pairs that gossip never reaches; the comparison of views repairs them.
    double missed_share = 0;
    // Copies of an item that a node sends.
    double copies = 0;
};

gossip_figures run_gossip_model(gossip_setting const& used);

} // namespace plantaintally::measure
