// Names of the reducer's events.
#pragma once

#include "messages/events.hpp"

#include <string_view>

namespace plantaintally::drivers
{

// Returns the event's name in kebab case, as used in metrics and logs.
std::string_view event_kind_name(event const& happened);

} // namespace plantaintally::drivers
