// Parses the head of an incoming request.
#pragma once

#include "base/result.hpp"
#include "drivers/dialect.hpp"
#include "messages/request_types.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::drivers
{

// Parses a request's head; fails with a description if it is invalid.
// Plantaintally-* headers are accepted only from the sources that may set them,
// and requests on the local listener must have X-Request-Id.
result<parsed_request> parse_request(incoming_request const& request,
                                     request_origin const& origin);

// Replaces a target in absolute form (http://HOST/PATH) by its path, and Host
// by its authority, which takes precedence (RFC 9112, section 3.2.2). Other
// targets stay as they are.
void use_origin_form(incoming_request& request);

// Returns a caller's header as it is sent to another node. The receiver
// restores the name.
header_field to_peer_header(header_field const& forwarded);

// Returns the headers of an upstream's response that are forwarded to the
// caller: all but hop-by-hop headers and those that nodes set.
std::vector<header_field>
forwarded_answer_headers(std::vector<header_field> const& headers);

} // namespace plantaintally::drivers
