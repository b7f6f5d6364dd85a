#include "admission/admission.hpp"
#include "admission/internal/overload.hpp"

#include <algorithm>

namespace plantaintally::admission
{

namespace
{

constexpr std::uint32_t permille = 1000;
constexpr duration min_retry_delay = std::chrono::milliseconds(50);
constexpr duration max_retry_delay = std::chrono::seconds(5);
constexpr double answer_weight = 0.05;
// The downstream admission level is applied while a larger fraction of the
// rank's requests than this fails because of downstream refusals.
constexpr double overload_threshold = 0.5;
constexpr duration downstream_level_lifetime = std::chrono::seconds(1);
// Minimum time between two checks for expired requests.
constexpr duration check_interval = std::chrono::milliseconds(1);

std::uint32_t
local_level(state const& admission, rank_queue const& queue, instant now)
{
    bool const is_closed =
        !queue.is_protected && is_unprotected_closed(admission, now);
    return is_closed ? queue.urgency + 1 : 0;
}

} // namespace

void open(state& admission,
          std::uint32_t slots,
          duration cold_start,
          instant now)
{
    admission.is_open = true;
    open_limit(admission.limit, slots, cold_start, now);
}

std::vector<refused_request> close(state& admission)
{
    admission.is_open = false;
    std::vector<refused_request> removed;
    for (auto& [rank, queue] : admission.queues)
    {
        for (pending_request& request : pop_all(queue))
        {
            removed.push_back(
                refused_request{std::move(request), refusal::draining});
        }
    }
    admission.queued = 0;
    return removed;
}

bool cancel(state& admission,
            std::string_view rank,
            std::string_view caller,
            exchange_id exchange)
{
    auto const found = admission.queues.find(rank);
    if (found == admission.queues.end() ||
        !remove(found->second, caller, exchange))
    {
        return false;
    }
    --admission.queued;
    return true;
}

void finish(state& admission,
            std::string_view rank,
            load_sample const& sample,
            instant now)
{
    note_sample(admission.limit, rank, sample, admission.in_flight, now);
    admission.in_flight -= std::min(admission.in_flight, 1U);
}

void note_answer(state& admission,
                 std::string_view rank,
                 bool failed_downstream,
                 std::uint32_t level,
                 instant now)
{
    auto found = admission.downstream.find(rank);
    if (found == admission.downstream.end())
    {
        found = admission.downstream
                    .emplace(std::string(rank), downstream_overload{})
                    .first;
    }
    downstream_overload& overload = found->second;
    double const outcome = failed_downstream ? 1.0 : 0.0;
    overload.failed_fraction +=
        answer_weight * (outcome - overload.failed_fraction);
    if (failed_downstream)
    {
        overload.level = level;
        overload.expires_at = now + downstream_level_lifetime;
    }
}

std::uint32_t
admission_level(state const& admission, std::string_view rank, instant now)
{
    std::uint32_t level = 0;
    auto const queue = admission.queues.find(rank);
    if (queue != admission.queues.end())
    {
        level = local_level(admission, queue->second, now);
    }
    auto const from_downstream = admission.downstream.find(rank);
    if (from_downstream != admission.downstream.end() &&
        from_downstream->second.expires_at > now &&
        from_downstream->second.failed_fraction > overload_threshold)
    {
        level = std::max(level, from_downstream->second.level);
    }
    return level;
}

std::uint32_t load_permille(state const& admission, instant now)
{
    if (!admission.is_open)
    {
        return 0;
    }
    std::uint64_t const present = admission.in_flight + admission.queued;
    std::uint64_t const limit = advertised_limit(admission.limit, now);
    return static_cast<std::uint32_t>(present * permille / limit);
}

std::optional<instant> next_wakeup(state const& admission, instant now)
{
    if (admission.queued == 0)
    {
        return std::nullopt;
    }
    instant earliest = admission.earliest_deadline -
                       longest_typical_service_time(admission.limit);
    return std::max(earliest, now + check_interval);
}

duration suggested_retry_delay(state const& admission)
{
    duration const mean = mean_service_time(admission.limit);
    std::uint32_t const slots = current_limit(admission.limit);
    duration const drain =
        mean * static_cast<duration::rep>(admission.queued) / slots;
    return std::clamp(drain, min_retry_delay, max_retry_delay);
}

} // namespace plantaintally::admission
