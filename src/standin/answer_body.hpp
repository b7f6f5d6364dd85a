// The body of a stand-in upstream's answer. A header line holds the request
// id, the payload length and a checksum, so that a caller can detect a
// truncated or damaged answer, or one that belongs to another request.
#pragma once

#include "base/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace plantaintally::standin
{

// Returns the body of the answer to a request: the header line, then a payload
// of `payload_bytes` pseudo-random bytes that depend only on the request id.
std::string make_answer_body(std::string_view request_id,
                             std::string_view upstream,
                             std::size_t payload_bytes);

// Checks that the body is complete, undamaged and belongs to the request.
// Error: invalid_input; the message names the first mismatch.
result<void> check_answer_body(std::string_view body,
                               std::string_view request_id);

} // namespace plantaintally::standin
