#include "admission/source_throttle.hpp"

#include <algorithm>
#include <cmath>

namespace plantaintally::admission
{

namespace
{

// Requests offered per accepted one at which the source starts to shed.
constexpr double offered_per_accepted = 2.0;
// Requests that are let through even if none was accepted.
constexpr double unthrottled_requests = 10.0;
constexpr duration decay_time = std::chrono::seconds(2);

recent_requests& recent_of(source_throttle& throttle,
                           std::string_view service,
                           std::string_view rank,
                           instant now)
{
    auto const key = std::pair(std::string(service), std::string(rank));
    recent_requests& recent = throttle.recent[key];
    double const age = static_cast<double>((now - recent.updated_at).count()) /
                       static_cast<double>(decay_time.count());
    double const decay = std::exp(-std::max(age, 0.0));
    recent.offered *= decay;
    recent.accepted *= decay;
    recent.updated_at = now;
    return recent;
}

} // namespace

bool should_shed(source_throttle& throttle,
                 std::string_view service,
                 std::string_view rank,
                 random_source& random,
                 instant now)
{
    recent_requests& recent = recent_of(throttle, service, rank, now);
    double const allowed =
        offered_per_accepted * recent.accepted + unthrottled_requests;
    double const excess = (recent.offered - allowed) / (recent.offered + 1);
    // Shed requests are counted too, so that shedding follows the offered load.
    recent.offered += 1;
    return draw_fraction(random) < excess;
}

void note_accepted(source_throttle& throttle,
                   std::string_view service,
                   std::string_view rank,
                   instant now)
{
    recent_of(throttle, service, rank, now).accepted += 1;
}

} // namespace plantaintally::admission
