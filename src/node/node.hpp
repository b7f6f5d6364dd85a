// The node: one reducer over all events, composed of the subjects' reducers.
#pragma once

#include "messages/effects.hpp"
#include "messages/events.hpp"
#include "node/state.hpp"

namespace plantaintally::node
{

// Takes one event and returns the effects to carry out, in order. Makes no
// other use of the outside world, so that equal events give equal effects.
effects reduce(state& node, event const& incoming, moment const& now);

} // namespace plantaintally::node
