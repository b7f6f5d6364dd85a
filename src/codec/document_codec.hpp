// The operators' configuration as JSON, the form in which it is stored.
#pragma once

#include "base/result.hpp"
#include "configuration/document.hpp"

#include <string>
#include <string_view>

namespace plantaintally::codec
{

std::string encode_document(configuration::document const& content);

// The document, or why the text is none.
result<configuration::document> decode_document(std::string_view text);

} // namespace plantaintally::codec
