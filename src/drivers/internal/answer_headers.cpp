#include "drivers/internal/answer_headers.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantaintally::drivers
{

std::string format_milliseconds(duration time)
{
    auto const count =
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return std::to_string(std::max<std::int64_t>(count, 0));
}

std::vector<header_field> common_headers(answer_recipient const& recipient,
                                         hop_report const& report)
{
    if (recipient.source == request_source::peer)
    {
        return {codec::encode_hop_report(report)};
    }
    return {
        {"X-Request-Id", recipient.trace_id},
        {std::string(verdict_header), std::string(to_string(report.outcome))},
        {std::string(attempts_header), std::to_string(report.attempts)}};
}

std::vector<header_field> refusal_headers(answer_recipient const& recipient,
                                          refused_answer const& refused)
{
    constexpr std::uint32_t service_unavailable = 503;
    auto headers = common_headers(recipient, refused.report);
    if (recipient.source == request_source::peer)
    {
        return headers;
    }
    headers.push_back({"Content-Type", std::string(problem_media_type)});
    if (refused.status == service_unavailable)
    {
        headers.push_back(
            {"Retry-After", retry_after_seconds(refused.report.retry_after)});
    }
    return headers;
}

problem to_problem(refused_answer const& refused)
{
    return {refused.status,
            refused.detail,
            refused.report.reason.value_or(refusal::overload),
            refused.report.outcome};
}

refused_answer
refuse_input(std::uint32_t status, refusal reason, std::string detail)
{
    refused_answer refused{status, std::move(detail), {}};
    refused.report.outcome = verdict::not_run;
    refused.report.reason = reason;
    return refused;
}

} // namespace plantaintally::drivers
