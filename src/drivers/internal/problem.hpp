// Refusals as HTTP answers with a problem body (RFC 9457).
#pragma once

#include "base/verdict.hpp"
#include "messages/request_types.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantaintally::drivers
{

inline constexpr std::string_view problem_media_type =
    "application/problem+json";

// A refusal of this node, for people and programs.
struct problem
{
    std::uint32_t status = 503;
    std::string detail;
    refusal reason = refusal::overload;
    verdict outcome = verdict::not_run;
};

// The problem as a JSON body.
std::string write_problem(problem const& refused);

// The value of Retry-After for this time: whole seconds, one at least.
std::string retry_after_seconds(duration time);

} // namespace plantaintally::drivers
