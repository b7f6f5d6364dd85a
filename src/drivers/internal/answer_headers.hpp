// Headers and refusals of the responses that sessions write.
#pragma once

#include "drivers/dialect.hpp"
#include "drivers/internal/problem.hpp"

#include <string>
#include <vector>

namespace plantaintally::drivers
{

inline constexpr std::string_view verdict_header = "Plantaintally-Verdict";
inline constexpr std::string_view attempts_header = "Plantaintally-Attempts";

// Formats a duration as whole milliseconds, rounded down; negative durations
// become 0.
std::string format_milliseconds(duration time);

// Headers of every response: trace id, verdict and number of attempts. A peer
// gets the hop report instead, which contains all of these.
std::vector<header_field> common_headers(answer_recipient const& recipient,
                                         hop_report const& report);

// Headers of a refusal: the common headers, the media type and, unless the
// request may have run, Retry-After. A peer gets only the common headers.
std::vector<header_field> refusal_headers(answer_recipient const& recipient,
                                          refused_answer const& refused);

// Returns the problem details for a refusal's body.
problem to_problem(refused_answer const& refused);

// Creates a refusal for input that is rejected without involving the reducer.
refused_answer
refuse_input(std::uint32_t status, refusal reason, std::string detail);

} // namespace plantaintally::drivers
