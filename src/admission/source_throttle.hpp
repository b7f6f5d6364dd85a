// Client-side throttling: sheds requests at their source in proportion to those
// that the called service refuses (Beyer et al., Site Reliability Engineering,
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

// Exponentially decaying counts of the requests for one service and rank.
struct recent_requests
{
    double offered = 0;
    double accepted = 0;
    instant updated_at{};
};

struct source_throttle
{
    // By service and rank.
    std::map<std::pair<std::string, std::string>, recent_requests> recent;
};

// Decides whether a new request is shed, and counts it as offered. Some
// requests are always let through so that the recovery of a service is noticed.
bool should_shed(source_throttle& throttle,
                 std::string_view service,
                 std::string_view rank,
                 random_source& random,
                 instant now);

// Records that the service accepted a request: it did not refuse or fail it for
// lack of capacity.
void note_accepted(source_throttle& throttle,
                   std::string_view service,
                   std::string_view rank,
                   instant now);

} // namespace plantaintally::admission
