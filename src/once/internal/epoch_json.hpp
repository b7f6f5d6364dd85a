// The JSON form in which a cell's epoch document is stored.
#pragma once

#include "base/result.hpp"
#include "once/epoch.hpp"

namespace plantaintally::once
{

std::string encode_epochs(epoch_document const& document);

// Parses a stored document. Fails with errc::invalid_input if the text is not
// JSON, a field is missing or has the wrong type, no epoch is listed, or the
// epoch numbers are not consecutive.
result<epoch_document> decode_epochs(std::string_view text);

} // namespace plantaintally::once
