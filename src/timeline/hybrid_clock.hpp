// Hybrid logical clock (Kulkarni et al., 2014) of a node.
#pragma once

#include "base/moment.hpp"

namespace plantaintally::timeline
{

// The clock's state: the highest reading given or seen.
struct hybrid_clock
{
    hybrid_time last;
};

// Reading for an event of this process, above every earlier one.
hybrid_time advance(hybrid_clock& clock, wall_time wall);

// Reading for the receipt of a message stamped `remote`. A remote reading more
// than a minute ahead of the wall clock is ignored, so that one wrong clock
// does not carry the fleet's along.
hybrid_time advance(hybrid_clock& clock, wall_time wall, hybrid_time remote);

} // namespace plantaintally::timeline
