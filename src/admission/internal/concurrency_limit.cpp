#include "admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace plantaintally::admission
{

namespace
{

// Share of the slots open at the beginning of a cold start.
constexpr double cold_start_share = 0.1;
constexpr double min_limit_share = 0.05;
constexpr double mean_weight = 0.1;
// The baseline follows lower times quickly and higher ones slowly.
constexpr double baseline_down_weight = 0.2;
constexpr duration baseline_memory = std::chrono::seconds(60);
// Own times above this multiple of the baseline are taken for overload.
constexpr double tolerated_growth = 2.0;
constexpr double max_counted_growth = 10.0;
// Strongest cut of the limit by one window.
constexpr double strongest_cut = 0.7;
// A window in which the upstream refused more than this is cut by that much.
constexpr double mostly_refused = 0.5;
// Weakest cut for growth: its effect has to be seen.
constexpr double weakest_cut = 0.85;
// After a cut that was of no use there is none for this long.
constexpr duration cut_hold = std::chrono::seconds(2);
// After a refusal the limit is not raised for this long.
constexpr duration refusal_hold = std::chrono::seconds(1);
constexpr double growth_share = 0.05;
// The limit counts as used up from this share on.
constexpr double used_share = 0.8;
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

// Weight of a sample that stands for this span of time in the baseline.
double share_of_memory(duration span)
{
    return std::min(1.0,
                    static_cast<double>(span.count()) /
                        static_cast<double>(baseline_memory.count()));
}

void note_times(concurrency_limit& limit,
                std::string_view rank,
                load_sample const& sample,
                instant now)
{
    auto found = limit.times.find(rank);
    if (found == limit.times.end())
    {
        found = limit.times.emplace(std::string(rank), service_times{}).first;
    }
    service_times& times = found->second;
    auto const own =
        static_cast<double>(std::max<duration::rep>(sample.own.count(), 1));
    auto const total = static_cast<double>(sample.total.count());
    double const weight = own < times.baseline_us
                              ? baseline_down_weight
                              : share_of_memory(now - times.updated_at);
    times.updated_at = now;
    times.baseline_us = blend(times.baseline_us, own, weight);
    times.deviation_us =
        blend(times.deviation_us, std::abs(total - times.mean_us), mean_weight);
    times.mean_us = blend(times.mean_us, total, mean_weight);
    limit.mean_us = blend(limit.mean_us, total, mean_weight);
    times.mean_own_us = blend(times.mean_own_us, own, mean_weight);
    limit.time_sum_us += total;
    limit.growth_sum += std::min(own / times.baseline_us, max_counted_growth);
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

void start_trial(concurrency_limit& limit, double growth, instant now)
{
    duration const mean = from_us(limit.time_sum_us / limit.samples);
    limit.trial.is_running = true;
    limit.trial.value_before = limit.value;
    limit.trial.growth_before = growth;
    limit.trial.judge_after = now + mean;
}

// Keeps the cut if it made requests faster; otherwise takes it back, and takes
// the present times for those at low load.
double judge_trial(concurrency_limit& limit, double growth, instant now)
{
    limit.trial.is_running = false;
    // Half of the effect that the cut has if concurrency is the cause.
    double const cut = limit.value / limit.trial.value_before;
    if (growth < limit.trial.growth_before * (1.0 + cut) / 2.0)
    {
        return limit.value;
    }
    limit.trial.next_cut = now + cut_hold;
    for (auto& [rank, times] : limit.times)
    {
        times.baseline_us = std::max(times.baseline_us, times.mean_own_us);
    }
    return limit.trial.value_before;
}

double next_value(concurrency_limit& limit, instant now)
{
    double const samples = limit.samples;
    if (limit.refusals / samples > mostly_refused)
    {
        return limit.value * strongest_cut;
    }
    double const growth = limit.growth_sum / samples;
    if (limit.trial.is_running)
    {
        return judge_trial(limit, growth, now);
    }
    // Load that has just risen makes the first window a mixed one.
    bool const was_grown = limit.trial.has_grown;
    limit.trial.has_grown = growth > tolerated_growth;
    bool const is_grown = was_grown && limit.trial.has_grown;
    if (is_grown && now >= limit.trial.next_cut)
    {
        start_trial(limit, growth, now);
        return limit.value * std::clamp(tolerated_growth / growth,
                                        strongest_cut,
                                        weakest_cut);
    }
    bool const is_used = limit.most_in_flight >= used_share * limit.value;
    if (is_used && now >= limit.raise_after)
    {
        return limit.value + std::max(1.0, growth_share * limit.value);
    }
    return limit.value;
}

double least_value(concurrency_limit const& limit)
{
    return std::max(1.0, min_limit_share * limit.slots);
}

// The upstream could not take one more than were running.
void note_refusal(concurrency_limit& limit,
                  std::uint32_t in_flight,
                  instant now)
{
    double const taken = in_flight == 0 ? 0 : in_flight - 1;
    limit.value = std::max(least_value(limit), std::min(limit.value, taken));
    limit.raise_after = now + refusal_hold;
}

void restart_window(concurrency_limit& limit, instant now)
{
    limit.window_start = now;
    limit.samples = 0;
    limit.refusals = 0;
    limit.growth_sum = 0;
    limit.time_sum_us = 0;
    limit.most_in_flight = 0;
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

std::uint32_t allowed(concurrency_limit const& limit, instant now)
{
    double ramp = limit.slots;
    duration const age = now - limit.opened_at;
    if (age < limit.cold_start)
    {
        double const progress = static_cast<double>(age.count()) /
                                static_cast<double>(limit.cold_start.count());
        ramp *= cold_start_share + (1.0 - cold_start_share) * progress;
    }
    double const bound = std::min(ramp, limit.value);
    return std::max(1U, static_cast<std::uint32_t>(bound));
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
    limit.most_in_flight = std::max(limit.most_in_flight, in_flight);
    if (sample.kind == sample_kind::refused)
    {
        ++limit.refusals;
        note_refusal(limit, in_flight, now);
    }
    else if (sample.kind == sample_kind::timed_out)
    {
        limit.growth_sum += max_counted_growth;
        limit.time_sum_us += static_cast<double>(sample.total.count());
    }
    else
    {
        note_times(limit, rank, sample, now);
    }
    if (limit.trial.is_running && now < limit.trial.judge_after)
    {
        return restart_window(limit, now);
    }
    if (!is_window_over(limit, now))
    {
        return;
    }
    limit.value = std::clamp<double>(
        next_value(limit, now), least_value(limit), limit.slots);
    restart_window(limit, now);
}

duration shortest_service(concurrency_limit const& limit, std::string_view rank)
{
    auto const found = limit.times.find(rank);
    if (found == limit.times.end())
    {
        return duration::zero();
    }
    return from_us(found->second.baseline_us);
}

duration typical_service(concurrency_limit const& limit, std::string_view rank)
{
    auto const found = limit.times.find(rank);
    if (found == limit.times.end())
    {
        return duration::zero();
    }
    return from_us(found->second.mean_us + found->second.deviation_us);
}

duration longest_typical(concurrency_limit const& limit)
{
    double longest = 0;
    for (auto const& [rank, times] : limit.times)
    {
        longest = std::max(longest, times.mean_us + times.deviation_us);
    }
    return from_us(longest);
}

duration mean_service(concurrency_limit const& limit)
{
    return from_us(limit.mean_us);
}

} // namespace plantaintally::admission
