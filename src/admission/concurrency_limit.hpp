// Adaptive limit on the number of requests that run at the upstream at the same
// time.
#pragma once

#include "base/moment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace plantaintally::admission
{

// Outcome of a request at the upstream, as an indication of its load.
enum class sample_kind
{
    completed,
    // The upstream refused it because of overload.
    refused,
    timed_out,
    // The outcome doesn't depend on the load of the upstream.
    ignored
};

// Measurement of one request that has left the upstream.
struct load_sample
{
    sample_kind kind = sample_kind::completed;
    // `total` is the whole time at the upstream; `own_time` excludes the time
    // spent waiting for downstream calls.
    duration total{};
    duration own_time{};
};

// Service time statistics of one rank at the upstream.
struct service_times
{
    // Low estimate of the own time at an unloaded upstream.
    double baseline_us = 0;
    // Moving averages of the total time and of its absolute deviation from the
    // mean.
    double mean_us = 0;
    double deviation_us = 0;
    // Moving average of the own time over about the last minute, with outliers
    // clipped.
    double mean_own_us = 0;
    std::uint32_t samples = 0;
    instant updated_at{};
};

// Slowdown of the upstream: the ratio of a request's own time to the mean own
// time of its rank, summed over a window that is long enough to distinguish a
// change of the mean from the variance of single requests.
struct slowdown_window
{
    std::uint32_t samples = 0;
    double sum = 0;
    // True if the limit was fully used throughout the window.
    bool is_fully_used = true;
};

// A tentative reduction of the limit after own times have grown. It is kept
// only if requests become faster with fewer of them running. Otherwise the
// slowdown has another cause, and a lower limit would only cost throughput.
struct limit_trial
{
    bool is_running = false;
    // Mean slowdown in the previous window.
    double last_slowdown = 0;
    double limit_before = 0;
    double slowdown_before = 0;
    // Samples before this time are discarded: most of these requests started
    // before the reduction.
    instant evaluate_after{};
    // No further trial starts before this time, unless the slowdown has
    // increased considerably.
    instant next_trial{};
};

// The limit and the measurements from which it is computed. It is raised in
// small steps while it is fully used and own times are normal. It is lowered
// tentatively when own times grow. When the upstream refuses a request, it is
// lowered at once to the number of other requests in flight.
struct concurrency_limit
{
    double value = 1;
    std::uint32_t slots = 1;
    instant opened_at{};
    duration cold_start{};
    // By rank.
    std::map<std::string, service_times, std::less<>> times;
    // Moving average of the total time over all ranks.
    double mean_us = 0;
    // Start of the current measurement window. The limit is recomputed at the
    // end of each window.
    instant window_start{};
    std::uint32_t samples = 0;
    std::uint32_t refusals = 0;
    std::uint32_t peak_in_flight = 0;
    slowdown_window slowdown;
    limit_trial trial;
    // The limit is not raised before this time.
    instant raise_after{};
};

// Resets the limit for a new upstream with this many slots, which is slow until
// `cold_start` has passed.
void open_limit(concurrency_limit& limit,
                std::uint32_t slots,
                duration cold_start,
                instant now);

// Number of requests that may run at the same time; at least one.
std::uint32_t current_limit(concurrency_limit const& limit);

// Limit in relation to which the load is reported to senders: a fraction of
// `current_limit` during a cold start, so that senders prefer warm members.
// Requests are not refused on its account: a slow upstream still has all its
// slots, and if every member has just started there is no warm one.
std::uint32_t advertised_limit(concurrency_limit const& limit, instant now);

// Records a request that has left the upstream, and adjusts the limit.
// `in_flight` includes this request.
void note_sample(concurrency_limit& limit,
                 std::string_view rank,
                 load_sample const& sample,
                 std::uint32_t in_flight,
                 instant now);

// Service time of the rank at an unloaded upstream, excluding downstream calls;
// zero if no request was served yet.
duration unloaded_service_time(concurrency_limit const& limit,
                               std::string_view rank);

// Time within which a request of the rank is likely to be served: the mean plus
// the mean deviation; zero if no request was served yet.
duration typical_service_time(concurrency_limit const& limit,
                              std::string_view rank);

// Maximum of `typical_service_time` over all ranks.
duration longest_typical_service_time(concurrency_limit const& limit);

// Mean time that a request spends at the upstream; zero if none was served yet.
duration mean_service_time(concurrency_limit const& limit);

} // namespace plantaintally::admission
