// Refusals as problem details in HTTP responses (RFC 9457).
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

// Problem details of a refusal.
struct problem
{
    std::uint32_t status = 503;
    std::string detail;
    refusal reason = refusal::overload;
    verdict outcome = verdict::not_run;
};

// Encodes the problem as JSON.
std::string write_problem(problem const& refused);

// Formats a duration for Retry-After: whole seconds, rounded up, at least 1.
std::string retry_after_seconds(duration time);

} // namespace plantaintally::drivers
