// The answers that sessions write.
#pragma once

#include "drivers/internal/exchange_table.hpp"
#include "drivers/internal/http.hpp"
#include "drivers/internal/problem.hpp"

#include <string>
#include <vector>

namespace plantaintally::drivers
{

// Who reads the answer, and for which request.
struct answer_recipient
{
    request_source source = request_source::caller;
    std::string trace_id;
};

// The headers that stand on every answer: trace id, verdict, attempts; for a
// peer the whole report too.
std::vector<header_field> common_headers(answer_recipient const& recipient,
                                         hop_report const& report);

// A refusal's headers: the common ones, the media type, and Retry-After unless
// the request may have run.
std::vector<header_field> refusal_headers(answer_recipient const& recipient,
                                          refused_answer const& refused);

// The problem that a refusal states in its body.
problem to_problem(refused_answer const& refused);

// The refusal of an input that the reducer never sees.
refused_answer
refuse_input(std::uint32_t status, refusal reason, std::string detail);

} // namespace plantaintally::drivers
