#include "admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace plantaintally::admission
{

namespace
{

// Speed that an upstream is taken to have at the beginning of a cold start, as
// a share of its usual one. One that is slower still shows it by the requests
// that it has in hand.
constexpr double cold_start_share = 0.5;
constexpr double min_limit_share = 0.05;
// Refusals lower the limit no further than this share of the slots: an upstream
// that refuses some requests with half of its slots free is not short of slots,
// and fewer requests at a time would be refused as often.
constexpr double least_refused_share = 0.5;
// Above this share of refusals the upstream takes next to nothing.
constexpr double nearly_all_refused = 0.9;
constexpr double mean_weight = 0.1;
// The baseline follows lower times quickly and higher ones slowly.
constexpr double baseline_down_weight = 0.2;
// Time constant of the baseline upward and of the usual time.
constexpr duration time_memory = std::chrono::seconds(60);
// The usual time is the plain mean of the first requests.
constexpr std::uint32_t first_samples = 32;
// Own times above this multiple of the usual time are clipped in it, and a
// window whose mean is above it is taken for overload.
constexpr double tolerated_growth = 2.0;
constexpr double max_counted_growth = 50.0;
// With the spread of an exponential distribution, the mean of this many times
// is within a sixteenth of the true one in two of three cases.
constexpr std::uint32_t growth_window_samples = 256;
// What is left of the limit by a cut on trial, and the share of the growth
// before it, halfway to that, below which the cut has helped.
constexpr double trial_share = 0.7;
constexpr double helped_share = 0.85;
// Mean service times that a cut is given to take effect.
constexpr int settling_times = 2;
// After a cut that was of no use there is none for this long, unless the times
// have grown by this much more.
constexpr duration cut_hold = std::chrono::seconds(60);
constexpr double changed_growth = 1.5;
// After a cut that helped the limit is not raised for this long.
constexpr duration kept_cut_hold = std::chrono::seconds(30);
// What is left of the limit after a window that was mostly refused.
constexpr double refused_window_share = 0.7;
constexpr double mostly_refused = 0.5;
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

// Weight of a sample that stands for this span of time.
double share_of_memory(duration span)
{
    return std::min(1.0,
                    static_cast<double>(span.count()) /
                        static_cast<double>(time_memory.count()));
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

void note_own_time(service_times& times, double own, instant now)
{
    ++times.samples;
    double const recent = share_of_memory(now - times.updated_at);
    times.updated_at = now;
    double const baseline_weight =
        own < times.baseline_us ? baseline_down_weight : recent;
    times.baseline_us = blend(times.baseline_us, own, baseline_weight);
    if (times.samples <= first_samples)
    {
        times.usual_us = blend(times.usual_us, own, 1.0 / times.samples);
        return;
    }
    double const clipped = std::min(own, tolerated_growth * times.usual_us);
    times.usual_us = blend(times.usual_us, clipped, recent);
}

void note_growth(concurrency_limit& limit, double own, double usual)
{
    ++limit.growth.samples;
    limit.growth.sum += std::min(own / usual, max_counted_growth);
}

void note_times(concurrency_limit& limit,
                std::string_view rank,
                load_sample const& sample,
                instant now)
{
    service_times& times = times_of(limit, rank);
    auto const own =
        static_cast<double>(std::max<duration::rep>(sample.own.count(), 1));
    auto const total = static_cast<double>(sample.total.count());
    note_own_time(times, own, now);
    times.deviation_us =
        blend(times.deviation_us, std::abs(total - times.mean_us), mean_weight);
    times.mean_us = blend(times.mean_us, total, mean_weight);
    limit.mean_us = blend(limit.mean_us, total, mean_weight);
    note_growth(limit, own, times.usual_us);
}

// A request that timed out took at least the time until then.
void note_time_out(concurrency_limit& limit,
                   std::string_view rank,
                   load_sample const& sample)
{
    double const usual = times_of(limit, rank).usual_us;
    if (usual > 0)
    {
        auto const own = static_cast<double>(sample.own.count());
        note_growth(limit, std::max(own, usual), usual);
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

double start_trial(concurrency_limit& limit, double growth, instant now)
{
    limit.trial.is_running = true;
    limit.trial.value_before = limit.value;
    limit.trial.growth_before = growth;
    limit.trial.judge_after = now + settling_times * from_us(limit.mean_us);
    return limit.value * trial_share;
}

// Keeps the cut if it made requests faster; otherwise takes it back.
double judge_trial(concurrency_limit& limit, double growth, instant now)
{
    limit.trial.is_running = false;
    if (growth < helped_share * limit.trial.growth_before)
    {
        limit.raise_after = now + kept_cut_hold;
        return limit.value;
    }
    limit.trial.next_cut = now + cut_hold;
    return std::max(limit.value, limit.trial.value_before);
}

// The limit after a whole window of own times.
double value_by_growth(concurrency_limit& limit, instant now)
{
    growth_window const window = limit.growth;
    limit.growth = growth_window{};
    double const growth = window.sum / window.samples;
    if (limit.trial.is_running)
    {
        return judge_trial(limit, growth, now);
    }
    // A window that saw the times change midway is no measure for a trial.
    bool const is_lasting =
        limit.trial.last_growth > tolerated_growth && growth > tolerated_growth;
    limit.trial.last_growth = growth;
    bool const may_cut = now >= limit.trial.next_cut ||
                         growth > changed_growth * limit.trial.growth_before;
    if (!window.is_used || !is_lasting || !may_cut)
    {
        return limit.value;
    }
    return start_trial(limit, growth, now);
}

double least_after_refusal(concurrency_limit const& limit)
{
    return std::max(1.0, least_refused_share * limit.slots);
}

double next_value(concurrency_limit& limit, instant now)
{
    double const samples = limit.samples;
    if (limit.refusals / samples > mostly_refused)
    {
        limit.trial.is_running = false;
        double const cut = limit.value * refused_window_share;
        bool const is_closed = limit.refusals / samples > nearly_all_refused;
        double const least = std::min(limit.value, least_after_refusal(limit));
        return is_closed ? cut : std::max(cut, least);
    }
    bool const is_used = limit.most_in_flight >= used_share * limit.value;
    limit.growth.is_used = limit.growth.is_used && is_used;
    if (limit.growth.samples >= growth_window_samples)
    {
        return value_by_growth(limit, now);
    }
    if (is_used && !limit.trial.is_running && now >= limit.raise_after)
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
    double const least = least_after_refusal(limit);
    if (taken < least)
    {
        return;
    }
    limit.value = std::min(limit.value, std::max(least, taken));
    limit.raise_after = now + refusal_hold;
    limit.trial.is_running = false;
}

void restart_window(concurrency_limit& limit, instant now)
{
    limit.window_start = now;
    limit.samples = 0;
    limit.refusals = 0;
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

std::uint32_t current_limit(concurrency_limit const& limit)
{
    double const bound = std::min<double>(limit.slots, limit.value);
    return std::max(1U, static_cast<std::uint32_t>(bound));
}

std::uint32_t comfortable(concurrency_limit const& limit, instant now)
{
    std::uint32_t const warm = current_limit(limit);
    duration const age = now - limit.opened_at;
    if (age >= limit.cold_start)
    {
        return warm;
    }
    double const progress = static_cast<double>(age.count()) /
                            static_cast<double>(limit.cold_start.count());
    double const ramp = cold_start_share + (1.0 - cold_start_share) * progress;
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
    limit.most_in_flight = std::max(limit.most_in_flight, in_flight);
    if (sample.kind == sample_kind::refused)
    {
        ++limit.refusals;
        note_refusal(limit, in_flight, now);
    }
    else if (sample.kind == sample_kind::timed_out)
    {
        note_time_out(limit, rank, sample);
    }
    else
    {
        note_times(limit, rank, sample, now);
    }
    if (limit.trial.is_running && now < limit.trial.judge_after)
    {
        limit.growth = growth_window{};
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
