// Sheds requests at their source in proportion to what the called service
// refuses (client-side throttling; Beyer et al., Site Reliability Engineering,
// 2016, chapter 21).
#pragma once

#include "base/moment.hpp"
#include "base/random.hpp"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace plantaintally::admission
{

// Requests for one service and rank in the last seconds, with older ones
// counting less.
struct recent_requests
{
    double offered = 0;
    double accepted = 0;
    instant updated_at{};
};

// By service and rank.
struct source_throttle
{
    std::map<std::pair<std::string, std::string>, recent_requests> recent;
};

// Decides whether a new request is shed. Some are always let through, so that
// a service that has recovered is found out.
bool should_shed(source_throttle& throttle,
                 std::string_view service,
                 std::string_view rank,
                 random_source& random,
                 instant now);

// The service took a request and did not fail it for want of capacity.
void note_accepted(source_throttle& throttle,
                   std::string_view service,
                   std::string_view rank,
                   instant now);

} // namespace plantaintally::admission
