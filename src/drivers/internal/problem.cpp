#include "drivers/internal/problem.hpp"

#include "codec/bounded_json.hpp"

#include <algorithm>

namespace plantaintally::drivers
{

namespace
{

std::string title_of(refusal reason)
{
    std::string title(to_string(reason));
    std::replace(title.begin(), title.end(), '-', ' ');
    return title;
}

} // namespace

std::string write_problem(problem const& refused)
{
    auto const reason = std::string(to_string(refused.reason));
    return codec::write_json({{"type", "urn:plantaintally:" + reason},
                              {"title", title_of(refused.reason)},
                              {"status", refused.status},
                              {"detail", refused.detail},
                              {"reason", reason},
                              {"verdict", to_string(refused.outcome)}});
}

std::string retry_after_seconds(duration time)
{
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(time).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

} // namespace plantaintally::drivers
