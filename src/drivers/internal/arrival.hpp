// What a node takes from the head of a request that it was sent.
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

// The head, or what is wrong with it. Plantaintally-* headers are only taken
// from where they may come from, and X-Request-Id must be there on the local
// listener.
result<parsed_request> parse_arrival(incoming_request const& request,
                                     request_origin const& origin);

// Headers of an answer of an upstream or a peer that go on to the caller: all
// but those of the connection and of the nodes.
std::vector<header_field>
forwarded_answer_headers(std::vector<header_field> const& headers);

} // namespace plantaintally::drivers
