// How many requests may run at the upstream at the same time.
#pragma once

#include "base/moment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace plantaintally::admission
{

// How a request that ran at the upstream ended, as far as it tells of load.
enum class sample_kind
{
    completed,
    // The upstream refused it because it is loaded.
    refused,
    timed_out,
    // Ended for a reason that tells nothing of load.
    ignored
};

// One request that has left the upstream.
struct load_sample
{
    sample_kind kind = sample_kind::completed;
    // Time at the upstream, and the part of it that was not spent waiting for
    // downstream calls.
    duration total{};
    duration own{};
};

// Service times of one rank at the upstream.
struct service_times
{
    // Low estimate of the own time at an unloaded upstream.
    double baseline_us = 0;
    // Moving mean of the whole time, and of its distance from the mean.
    double mean_us = 0;
    double deviation_us = 0;
    // Mean own time over the last minute, outliers clipped.
    double usual_us = 0;
    std::uint32_t samples = 0;
    instant updated_at{};
};

// Own times as multiples of the usual ones, over a window that is long enough
// to tell a change of their mean from their spread.
struct growth_window
{
    std::uint32_t samples = 0;
    double sum = 0;
    // True if the limit was fully used all the time.
    bool is_used = true;
};

// A cut of the limit because own times grew, until it has shown whether fewer
// requests at a time are faster. Times that don't fall with the limit have
// another cause, and a lower limit only costs throughput.
struct limit_trial
{
    bool is_running = false;
    // Mean growth of the window before the current one.
    double last_growth = 0;
    double value_before = 0;
    double growth_before = 0;
    // Requests that end before were mostly started before the cut.
    instant judge_after{};
    // No other cut for growth until then.
    instant next_cut{};
};

// The limit and what it is computed from. It is raised by a little when it is
// fully used and own times are as usual. It is lowered on trial when own times
// grow, and at once to what ran when the upstream refuses one more.
struct concurrency_limit
{
    double value = 1;
    std::uint32_t slots = 1;
    instant opened_at{};
    duration cold_start{};
    std::map<std::string, service_times, std::less<>> times;
    double mean_us = 0;
    // The window since the last change of the limit.
    instant window_start{};
    std::uint32_t samples = 0;
    std::uint32_t refusals = 0;
    std::uint32_t most_in_flight = 0;
    growth_window growth;
    limit_trial trial;
    instant raise_after{};
};

// A new upstream with this many slots, slow until `cold_start` has passed.
void open_limit(concurrency_limit& limit,
                std::uint32_t slots,
                duration cold_start,
                instant now);

// The number of requests that may run now; at least one.
std::uint32_t current_limit(concurrency_limit const& limit);

// What senders compare the load with: `allowed`, but a part of it during a cold
// start, so that they prefer warm members. It refuses nothing: a slow upstream
// has all its slots, and when every member has just started there is no other.
std::uint32_t comfortable(concurrency_limit const& limit, instant now);

// Takes in a request that has left the upstream; `in_flight` counts it too.
void note_sample(concurrency_limit& limit,
                 std::string_view rank,
                 load_sample const& sample,
                 std::uint32_t in_flight,
                 instant now);

// The shortest time in which a request of the rank can be expected to be
// served; zero if none was served yet.
duration shortest_service(concurrency_limit const& limit,
                          std::string_view rank);

// The time in which a request of the rank is likely to be served; zero if none
// was served yet.
duration typical_service(concurrency_limit const& limit, std::string_view rank);

// The largest typical_service of all ranks.
duration longest_typical(concurrency_limit const& limit);

// Mean time of a request at the upstream; zero if none was served yet.
duration mean_service(concurrency_limit const& limit);

} // namespace plantaintally::admission
