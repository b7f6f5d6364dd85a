#include "admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace plantaintally::admission
{

namespace
{

// Assumed speed of an upstream at the beginning of a cold start, as a fraction
// of its normal speed. If it is even slower, its load shows in the number of
// requests in flight.
constexpr double cold_start_fraction = 0.5;
constexpr double min_limit_fraction = 0.05;
// Refusals don't lower the limit below this fraction of the slots, unless
// nearly all requests are refused: an upstream that refuses requests while half
// of its slots are free is not short of slots, and would refuse as many at a
// lower limit.
constexpr double min_fraction_after_refusal = 0.5;
// Above this fraction of refused requests the upstream counts as unavailable.
constexpr double nearly_all_refused = 0.9;
constexpr double mean_weight = 0.1;
// The baseline follows lower times quickly and higher ones slowly.
constexpr double baseline_down_weight = 0.2;
// Time constant of the mean own time, and of the baseline when it rises.
constexpr duration smoothing_time = std::chrono::seconds(60);
// Until this many samples, the mean own time is their arithmetic mean.
constexpr std::uint32_t initial_samples = 32;
// Own times are clipped to this multiple of the mean own time before they enter
// it, and a window with a larger mean slowdown is treated as overload.
constexpr double max_normal_slowdown = 2.0;
constexpr double max_counted_slowdown = 50.0;
// For exponentially distributed service times, the standard error of the mean
// of this many samples is one sixteenth of the mean.
constexpr std::uint32_t slowdown_window_samples = 256;
// Factor by which a trial reduces the limit.
constexpr double trial_limit_fraction = 0.7;
// A trial is successful if the slowdown falls below this fraction of its
// previous value: half of the improvement that the reduced limit could bring.
constexpr double successful_trial_fraction = 0.85;
// Delay before the samples of a trial are counted, in mean service times.
constexpr int settling_service_times = 2;
// Time after a failed trial before the next one, unless the slowdown has grown
// by the factor below.
constexpr duration failed_trial_hold = std::chrono::seconds(60);
constexpr double renewed_trial_factor = 1.5;
// Time after a successful trial during which the limit is not raised.
constexpr duration successful_trial_hold = std::chrono::seconds(30);
// Factor by which the limit is reduced after a window in which most requests
// were refused.
constexpr double refused_window_fraction = 0.7;
constexpr double mostly_refused = 0.5;
// Time after a refusal during which the limit is not raised.
constexpr duration refusal_hold = std::chrono::seconds(1);
constexpr double raise_fraction = 0.05;
// The limit counts as fully used if at least this fraction of it is in use.
constexpr double fully_used_fraction = 0.8;
constexpr std::uint32_t min_window_samples = 8;
constexpr duration min_window = std::chrono::milliseconds(20);
constexpr duration max_window = std::chrono::seconds(1);

duration from_us(double microseconds)
{
    return duration(static_cast<duration::rep>(microseconds));
}

double blend(double old, double fresh, double weight)
{
    return old == 0 ? fresh : old + weight * (fresh - old);
}

// Weight of a sample in a moving average over `smoothing_time`, when `span` has
// passed since the previous sample.
double smoothing_weight(duration span)
{
    return std::min(1.0,
                    static_cast<double>(span.count()) /
                        static_cast<double>(smoothing_time.count()));
}

service_times& times_of(concurrency_limit& limit, std::string_view rank)
{
    auto found = limit.times.find(rank);
    if (found == limit.times.end())
    {
        found = limit.times.emplace(std::string(rank), service_times{}).first;
    }
    return found->second;
}

void note_own_time(service_times& times, double own_time, instant now)
{
    ++times.samples;
    double const weight = smoothing_weight(now - times.updated_at);
    times.updated_at = now;
    double const baseline_weight =
        own_time < times.baseline_us ? baseline_down_weight : weight;
    times.baseline_us = blend(times.baseline_us, own_time, baseline_weight);
    if (times.samples <= initial_samples)
    {
        times.mean_own_us =
            blend(times.mean_own_us, own_time, 1.0 / times.samples);
        return;
    }
    double const clipped =
        std::min(own_time, max_normal_slowdown * times.mean_own_us);
    times.mean_own_us = blend(times.mean_own_us, clipped, weight);
}

void note_slowdown(concurrency_limit& limit, double own_time, double mean_own)
{
    ++limit.slowdown.samples;
    limit.slowdown.sum += std::min(own_time / mean_own, max_counted_slowdown);
}

void note_times(concurrency_limit& limit,
                std::string_view rank,
                load_sample const& sample,
                instant now)
{
    service_times& times = times_of(limit, rank);
    auto const own_time = static_cast<double>(
        std::max<duration::rep>(sample.own_time.count(), 1));
    auto const total = static_cast<double>(sample.total.count());
    note_own_time(times, own_time, now);
    times.deviation_us =
        blend(times.deviation_us, std::abs(total - times.mean_us), mean_weight);
    times.mean_us = blend(times.mean_us, total, mean_weight);
    limit.mean_us = blend(limit.mean_us, total, mean_weight);
    note_slowdown(limit, own_time, times.mean_own_us);
}

// The service time of a request that timed out is at least the time until the
// timeout.
void note_timeout(concurrency_limit& limit,
                  std::string_view rank,
                  load_sample const& sample)
{
    double const mean_own = times_of(limit, rank).mean_own_us;
    if (mean_own > 0)
    {
        auto const own_time = static_cast<double>(sample.own_time.count());
        note_slowdown(limit, std::max(own_time, mean_own), mean_own);
    }
}

bool is_window_over(concurrency_limit const& limit, instant now)
{
    if (limit.samples < min_window_samples)
    {
        return false;
    }
    duration const length =
        std::clamp(from_us(limit.mean_us), min_window, max_window);
    return now - limit.window_start >= length;
}

double start_trial(concurrency_limit& limit, double slowdown, instant now)
{
    limit.trial.is_running = true;
    limit.trial.limit_before = limit.value;
    limit.trial.slowdown_before = slowdown;
    limit.trial.evaluate_after =
        now + settling_service_times * from_us(limit.mean_us);
    return limit.value * trial_limit_fraction;
}

// Keeps the reduced limit if requests became faster; otherwise restores the
// previous one.
double evaluate_trial(concurrency_limit& limit, double slowdown, instant now)
{
    limit.trial.is_running = false;
    if (slowdown < successful_trial_fraction * limit.trial.slowdown_before)
    {
        limit.raise_after = now + successful_trial_hold;
        return limit.value;
    }
    limit.trial.next_trial = now + failed_trial_hold;
    return std::max(limit.value, limit.trial.limit_before);
}

// Returns the new limit at the end of a slowdown window.
double limit_from_slowdown(concurrency_limit& limit, instant now)
{
    slowdown_window const window = limit.slowdown;
    limit.slowdown = slowdown_window{};
    double const slowdown = window.sum / window.samples;
    if (limit.trial.is_running)
    {
        return evaluate_trial(limit, slowdown, now);
    }
    // Service times may have changed in the middle of the first slow window, so
    // it can't serve as the reference value of a trial.
    bool const is_sustained = limit.trial.last_slowdown > max_normal_slowdown &&
                              slowdown > max_normal_slowdown;
    limit.trial.last_slowdown = slowdown;
    bool const may_start_trial =
        now >= limit.trial.next_trial ||
        slowdown > renewed_trial_factor * limit.trial.slowdown_before;
    if (!window.is_fully_used || !is_sustained || !may_start_trial)
    {
        return limit.value;
    }
    return start_trial(limit, slowdown, now);
}

double min_after_refusal(concurrency_limit const& limit)
{
    return std::max(1.0, min_fraction_after_refusal * limit.slots);
}

double next_limit(concurrency_limit& limit, instant now)
{
    double const samples = limit.samples;
    if (limit.refusals / samples > mostly_refused)
    {
        limit.trial.is_running = false;
        double const cut = limit.value * refused_window_fraction;
        bool const is_unavailable =
            limit.refusals / samples > nearly_all_refused;
        double const minimum = std::min(limit.value, min_after_refusal(limit));
        return is_unavailable ? cut : std::max(cut, minimum);
    }
    bool const is_fully_used =
        limit.peak_in_flight >= fully_used_fraction * limit.value;
    limit.slowdown.is_fully_used =
        limit.slowdown.is_fully_used && is_fully_used;
    if (limit.slowdown.samples >= slowdown_window_samples)
    {
        return limit_from_slowdown(limit, now);
    }
    if (is_fully_used && !limit.trial.is_running && now >= limit.raise_after)
    {
        return limit.value + std::max(1.0, raise_fraction * limit.value);
    }
    return limit.value;
}

double min_value(concurrency_limit const& limit)
{
    return std::max(1.0, min_limit_fraction * limit.slots);
}

// Lowers the limit to the other requests in flight, since the upstream refused
// to run one more.
void note_refusal(concurrency_limit& limit,
                  std::uint32_t in_flight,
                  instant now)
{
    double const others_in_flight = in_flight == 0 ? 0 : in_flight - 1;
    double const minimum = min_after_refusal(limit);
    if (others_in_flight < minimum)
    {
        return;
    }
    limit.value = std::min(limit.value, std::max(minimum, others_in_flight));
    limit.raise_after = now + refusal_hold;
    limit.trial.is_running = false;
}

void restart_window(concurrency_limit& limit, instant now)
{
    limit.window_start = now;
    limit.samples = 0;
    limit.refusals = 0;
    limit.peak_in_flight = 0;
}

} // namespace

void open_limit(concurrency_limit& limit,
                std::uint32_t slots,
                duration cold_start,
                instant now)
{
    limit = concurrency_limit{};
    limit.slots = std::max(slots, 1U);
    limit.value = limit.slots;
    limit.opened_at = now;
    limit.cold_start = cold_start;
    limit.window_start = now;
}

std::uint32_t current_limit(concurrency_limit const& limit)
{
    double const bound = std::min<double>(limit.slots, limit.value);
    return std::max(1U, static_cast<std::uint32_t>(bound));
}

std::uint32_t advertised_limit(concurrency_limit const& limit, instant now)
{
    std::uint32_t const warm = current_limit(limit);
    duration const age = now - limit.opened_at;
    if (age >= limit.cold_start)
    {
        return warm;
    }
    double const progress = static_cast<double>(age.count()) /
                            static_cast<double>(limit.cold_start.count());
    double const ramp =
        cold_start_fraction + (1.0 - cold_start_fraction) * progress;
    return std::max(1U, static_cast<std::uint32_t>(ramp * warm));
}

void note_sample(concurrency_limit& limit,
                 std::string_view rank,
                 load_sample const& sample,
                 std::uint32_t in_flight,
                 instant now)
{
    if (sample.kind == sample_kind::ignored)
    {
        return;
    }
    ++limit.samples;
    limit.peak_in_flight = std::max(limit.peak_in_flight, in_flight);
    if (sample.kind == sample_kind::refused)
    {
        ++limit.refusals;
        note_refusal(limit, in_flight, now);
    }
    else if (sample.kind == sample_kind::timed_out)
    {
        note_timeout(limit, rank, sample);
    }
    else
    {
        note_times(limit, rank, sample, now);
    }
    if (limit.trial.is_running && now < limit.trial.evaluate_after)
    {
        limit.slowdown = slowdown_window{};
        return restart_window(limit, now);
    }
    if (!is_window_over(limit, now))
    {
        return;
    }
    limit.value = std::clamp<double>(
        next_limit(limit, now), min_value(limit), limit.slots);
    restart_window(limit, now);
}

duration unloaded_service_time(concurrency_limit const& limit,
                               std::string_view rank)
{
    auto const found = limit.times.find(rank);
    if (found == limit.times.end())
    {
        return duration::zero();
    }
    return from_us(found->second.baseline_us);
}

duration typical_service_time(concurrency_limit const& limit,
                              std::string_view rank)
{
    auto const found = limit.times.find(rank);
    if (found == limit.times.end())
    {
        return duration::zero();
    }
    return from_us(found->second.mean_us + found->second.deviation_us);
}

duration longest_typical_service_time(concurrency_limit const& limit)
{
    double longest = 0;
    for (auto const& [rank, times] : limit.times)
    {
        longest = std::max(longest, times.mean_us + times.deviation_us);
    }
    return from_us(longest);
}

duration mean_service_time(concurrency_limit const& limit)
{
    return from_us(limit.mean_us);
}

} // namespace plantaintally::admission
