// What a node takes from the head of a request that it was sent.
#pragma once

#include "base/result.hpp"
#include "drivers/internal/http.hpp"
#include "messages/request_types.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::drivers
{

// A request's head for the reducer, and the headers that go on to the upstream.
struct arrival
{
    request_head head;
    std::optional<hop_context> hop;
    std::vector<header_field> passed_headers;
};

// Where a request came from.
struct arrival_origin
{
    request_source source = request_source::caller;
    // IP address of the other side, or the service of the local upstream.
    std::string caller;
    // Used if the request brings no X-Request-Id.
    std::string fresh_trace_id;
};

// The head, or what is wrong with it. Plantaintally-* headers are only taken
// from where they may come from, and X-Request-Id must be there on the local
// listener.
result<arrival> parse_arrival(incoming_request const& request,
                              arrival_origin const& origin);

// Headers of an answer of an upstream or a peer that go on to the caller: all
// but those of the connection and of the nodes.
std::vector<header_field>
passed_answer_headers(std::vector<header_field> const& headers);

// The value of the first header of this name, in any case; empty if none.
std::string_view find_header(std::vector<header_field> const& headers,
                             std::string_view name);

} // namespace plantaintally::drivers
