// The document of a cell's epochs as JSON, the form in which it is stored.
#pragma once

#include "base/result.hpp"
#include "once/epoch.hpp"

namespace plantaintally::once
{

std::string encode_epochs(epoch_document const& document);

// The document, or why the text is none: not JSON, a field of the wrong type,
// no epoch, or numbers that are not consecutive.
result<epoch_document> decode_epochs(std::string_view text);

} // namespace plantaintally::once
