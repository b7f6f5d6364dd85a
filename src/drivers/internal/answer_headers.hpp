// The answers that sessions write.
#pragma once

#include "drivers/dialect.hpp"
#include "drivers/internal/problem.hpp"

#include <string>
#include <vector>

namespace plantaintally::drivers
{

inline constexpr std::string_view verdict_header = "Plantaintally-Verdict";
inline constexpr std::string_view attempts_header = "Plantaintally-Attempts";

// A span of time as a header's value: milliseconds, rounded down.
std::string whole_milliseconds(duration time);

// The headers that stand on every answer: trace id, verdict, attempts; for a
// peer the report, which says all that.
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
