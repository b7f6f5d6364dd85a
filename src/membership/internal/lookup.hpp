// Queries of the view by other modules, and lookups at peers of services that
// this node does not know.
#pragma once

#include "membership/state.hpp"

namespace plantaintally::membership
{

// Drops the lookups whose negative results have expired.
void expire_service_lookups(state& membership, instant now);

} // namespace plantaintally::membership
