// Operators' changes on their way into the platform's service.
#pragma once

#include "configuration/state.hpp"

#include <optional>

namespace plantaintally::configuration
{

// Takes the next step of the oldest pending change, and answers those that are
// decided.
void advance_submission(state& configuration, step& current);
std::optional<instant> submission_deadline(state const& configuration);

// The result of reading the document for the oldest pending change.
void take_read_for_change(state& configuration,
                          store_result const& result,
                          step& current);

// The result of writing the document for the oldest pending change.
void take_written_change(state& configuration,
                         store_result const& result,
                         step& current);

} // namespace plantaintally::configuration
