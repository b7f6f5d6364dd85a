// The body of a stand-in upstream's answer: it names its request, its length
// and a checksum, so that a caller can tell its own whole answer from others.
#pragma once

#include "base/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace plantaintally::standin
{

// A body with a payload of this many bytes for this request.
std::string make_answer_body(std::string_view request_id,
                             std::string_view upstream,
                             std::size_t payload_bytes);

// Checks that a body is the whole answer to this request. Error:
// invalid_input, with what is wrong.
result<void> check_answer_body(std::string_view body,
                               std::string_view request_id);

} // namespace plantaintally::standin
