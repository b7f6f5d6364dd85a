// Names of the reducer's events.
#pragma once

#include "messages/events.hpp"

#include <string_view>

namespace plantaintally::drivers
{

// The name used in metrics and logs, in kebab case.
std::string_view kind_of(event const& happened);

} // namespace plantaintally::drivers
