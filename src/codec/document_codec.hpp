// Encodes the operators' configuration as JSON, the format in which it is
// stored.
#pragma once

#include "base/result.hpp"
#include "configuration/document.hpp"

#include <string>
#include <string_view>

namespace plantaintally::codec
{

std::string encode_document(configuration::document const& content);

// Decodes a document. Error: invalid_input if the text is malformed.
result<configuration::document> decode_document(std::string_view text);

} // namespace plantaintally::codec
