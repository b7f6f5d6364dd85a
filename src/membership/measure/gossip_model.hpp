// Models gossip rounds with the constants of the reducer but without its views,
// for fleets whose views don't fit into the memory of one machine.
#pragma once

#include "base/moment.hpp"

#include <cstddef>
#include <cstdint>

namespace plantaintally::measure
{

// The size of the fleet and what it spreads.
struct gossip_model_setup
{
    std::size_t nodes = 0;
    // Number of items that appear at the same time, each at another node.
    std::size_t items = 1;
    double loss = 0;
    std::uint64_t seed = 1;
};

struct gossip_figures
{
    // Time until 99% of all pairs of node and item were delivered, and until
    // the last delivery by gossip.
    duration until_99_percent{};
    duration until_last{};
    // Fraction of the pairs that gossip never delivers; comparisons of views
    // repair them.
    double missed_fraction = 0;
    // Mean number of copies of an item that a node sends.
    double mean_copies = 0;
};

gossip_figures run_gossip_model(gossip_model_setup const& setup);

} // namespace plantaintally::measure
