// What the view answers to the other parts of the node, and the questions to
// peers about services that it does not know.
#pragma once

#include "membership/state.hpp"

namespace plantaintally::membership
{

// Forgets questions whose negative answers are relied on no more.
void forget_questions(state& membership, instant now);

} // namespace plantaintally::membership
