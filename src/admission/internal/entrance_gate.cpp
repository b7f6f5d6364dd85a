#include "admission/entrance_gate.hpp"

#include <algorithm>
#include <cmath>

namespace plantaintally::admission
{

namespace
{

// Bounds of the time between two changes of the share. A shorter window would
// end before the requests that the share let in.
constexpr duration min_window = std::chrono::milliseconds(250);
constexpr duration max_window = std::chrono::seconds(1);
// Results that end a window before its maximum length.
constexpr std::uint32_t min_window_results = 10;
// The share is reduced above this fraction of requests that fail for lack of
// capacity, and raised below it. Some must fail, or else it would not show that
// there is room for more.
constexpr double tolerated_fraction = 0.05;
// Factor of one raise while requests still fail now and then: a small step that
// probes for room.
constexpr double raise_factor = 1.15;
// Once no request has failed for this time, the overload counts as over, and
// the share doubles in each interval.
constexpr duration overload_memory = std::chrono::milliseconds(500);
constexpr duration doubling_interval = std::chrono::milliseconds(200);
// Lowest share. The few requests that it lets in show that capacity has
// returned.
constexpr double min_share = 0.05;

gate_state& gate_of(entrance_gate& entrance,
                    std::string_view service,
                    std::string_view rank)
{
    return entrance.gates[std::pair(std::string(service), std::string(rank))];
}

// Fraction of the window's requests that failed for lack of capacity. A window
// with few results counts as if the missing ones were good, so that one failure
// in light traffic doesn't close the gate.
double failed_fraction(gate_state const& gate)
{
    return static_cast<double>(gate.lacking_capacity) /
           std::max(gate.finished, min_window_results);
}

bool is_overloaded(gate_state const& gate)
{
    return failed_fraction(gate) > tolerated_fraction;
}

bool is_window_over(gate_state const& gate, instant now)
{
    duration const age = now - gate.window_start;
    return age >= max_window ||
           (age >= min_window && gate.finished >= min_window_results);
}

void close_window(gate_state& gate, instant now)
{
    double const factor =
        is_overloaded(gate) ? 1.0 - failed_fraction(gate) : raise_factor;
    gate.share = std::clamp(gate.share * factor, min_share, 1.0);
    gate.reduced_at = is_overloaded(gate) ? now : gate.reduced_at;
    gate.window_start = now;
    gate.finished = 0;
    gate.lacking_capacity = 0;
}

// Raises the share by the time that has passed since the overload ended.
void reopen(gate_state& gate, instant now)
{
    instant const from =
        std::max(gate.failed_at + overload_memory, gate.reopened_at);
    if (gate.share >= 1 || now <= from)
    {
        return;
    }
    double const intervals = static_cast<double>((now - from).count()) /
                             static_cast<double>(doubling_interval.count());
    gate.share = std::min(1.0, gate.share * std::exp2(intervals));
    gate.reopened_at = now;
}

} // namespace

bool may_enter(entrance_gate& entrance,
               std::string_view service,
               std::string_view rank,
               random_source& random,
               instant now)
{
    gate_state& gate = gate_of(entrance, service, rank);
    reopen(gate, now);
    return gate.share >= 1 || draw_fraction(random) < gate.share;
}

void note_finished(entrance_gate& entrance,
                   std::string_view service,
                   std::string_view rank,
                   gate_result const& finished,
                   instant now)
{
    gate_state& gate = gate_of(entrance, service, rank);
    if (finished.entered_at < gate.reduced_at)
    {
        return;
    }
    bool const lacks_capacity = finished.lacks_capacity;
    if (lacks_capacity)
    {
        gate.failed_at = now;
    }
    ++gate.finished;
    gate.lacking_capacity += lacks_capacity ? 1 : 0;
    if (is_window_over(gate, now))
    {
        close_window(gate, now);
    }
}

double entrance_share(entrance_gate const& entrance,
                      std::string_view service,
                      std::string_view rank)
{
    auto const found =
        entrance.gates.find(std::pair(std::string(service), std::string(rank)));
    return found == entrance.gates.end() ? 1.0 : found->second.share;
}

} // namespace plantaintally::admission
