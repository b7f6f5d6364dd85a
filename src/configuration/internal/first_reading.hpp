// How a node that has just started learns the highest revision: from the
// platform's service, or from its peers while that is down.
#pragma once

#include "configuration/state.hpp"

#include <optional>
#include <span>
#include <string>

namespace plantaintally::configuration
{

void start_reading(state& configuration, step& current);
void advance_reading(state& configuration,
                     std::span<std::string const> peers,
                     step& current);
std::optional<instant> reading_deadline(state const& configuration);
void take_reading(state& configuration,
                  store_result const& result,
                  step& current);

} // namespace plantaintally::configuration
