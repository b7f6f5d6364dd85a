// The node: a single reducer for all events, composed of the reducers of the
// individual modules.
#pragma once

#include "messages/effects.hpp"
#include "messages/events.hpp"
#include "node/state.hpp"

namespace plantaintally::node
{

// Processes one event and returns the effects to execute, in order. Has no
// other input or output, so that equal states and equal events yield equal
// effects.
effects reduce(state& node, event const& incoming, moment const& now);

} // namespace plantaintally::node
