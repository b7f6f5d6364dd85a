// Writing operators' changes to the platform's key-value store.
#pragma once

#include "configuration/state.hpp"

#include <optional>

namespace plantaintally::configuration
{

// Processes pending changes in order, as far as is possible without waiting,
// and answers those that are completed or have timed out.
void advance_submission(state& configuration, step& current);
std::optional<instant> submission_deadline(state const& configuration);

// Handles the result of reading the document for the oldest pending change.
void handle_change_read_result(state& configuration,
                               store_result const& result,
                               step& current);

// Handles the result of writing the document for the oldest pending change.
void handle_change_write_result(state& configuration,
                                store_result const& result,
                                step& current);

} // namespace plantaintally::configuration
