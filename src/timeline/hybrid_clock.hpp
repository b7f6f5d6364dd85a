// Hybrid logical clock (Kulkarni et al., 2014) of a node.
#pragma once

#include "base/moment.hpp"

namespace plantaintally::timeline
{

// State of the clock: the latest time that it issued or received.
struct hybrid_clock
{
    hybrid_time last;
};

// Returns the time of a local event, later than every earlier one.
hybrid_time advance(hybrid_clock& clock, wall_time wall);

// Returns the time at which a message stamped `remote` is received. A remote
// time more than a minute ahead of the wall clock is ignored, so that a single
// wrong clock does not advance the clocks of the whole fleet.
hybrid_time advance(hybrid_clock& clock, wall_time wall, hybrid_time remote);

} // namespace plantaintally::timeline
