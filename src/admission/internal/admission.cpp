#include "admission/admission.hpp"
#include "admission/internal/overload.hpp"

#include <algorithm>

namespace plantaintally::admission
{

namespace
{

constexpr std::uint32_t permille = 1000;
constexpr duration min_suggested_wait = std::chrono::milliseconds(50);
constexpr duration max_suggested_wait = std::chrono::seconds(5);
constexpr double answer_weight = 0.05;
// The subtree's level holds when most requests of the rank fail below.
constexpr double mostly_doomed = 0.5;
constexpr duration doomed_lifetime = std::chrono::seconds(1);
// Waiting requests are looked through no more often than this.
constexpr duration check_interval = std::chrono::milliseconds(1);

std::uint32_t
own_level(state const& admission, rank_queue const& queue, instant now)
{
    bool const is_shut =
        !queue.is_protected && is_unprotected_closed(admission, now);
    return is_shut ? queue.urgency + 1 : 0;
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
    std::vector<refused_request> taken;
    for (auto& [rank, queue] : admission.queues)
    {
        for (pending_request& item : take_all(queue))
        {
            taken.push_back(
                refused_request{std::move(item), refusal::draining});
        }
    }
    admission.queued = 0;
    return taken;
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
                 bool is_doomed,
                 std::uint32_t level,
                 instant now)
{
    auto found = admission.doomed.find(rank);
    if (found == admission.doomed.end())
    {
        found =
            admission.doomed.emplace(std::string(rank), doomed_share{}).first;
    }
    doomed_share& share = found->second;
    double const fresh = is_doomed ? 1.0 : 0.0;
    share.value += answer_weight * (fresh - share.value);
    if (is_doomed)
    {
        share.level = level;
        share.expires = now + doomed_lifetime;
    }
}

std::uint32_t
admission_level(state const& admission, std::string_view rank, instant now)
{
    std::uint32_t level = 0;
    auto const queue = admission.queues.find(rank);
    if (queue != admission.queues.end())
    {
        level = own_level(admission, queue->second, now);
    }
    auto const below = admission.doomed.find(rank);
    if (below != admission.doomed.end() && below->second.expires > now &&
        below->second.value > mostly_doomed)
    {
        level = std::max(level, below->second.level);
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
    std::uint64_t const limit = comfortable(admission.limit, now);
    return static_cast<std::uint32_t>(present * permille / limit);
}

std::optional<instant> next_deadline(state const& admission, instant now)
{
    if (admission.queued == 0)
    {
        return std::nullopt;
    }
    instant earliest =
        admission.earliest_deadline - longest_typical(admission.limit);
    return std::max(earliest, now + check_interval);
}

duration suggested_retry_delay(state const& admission)
{
    duration const mean = mean_service(admission.limit);
    std::uint32_t const slots = current_limit(admission.limit);
    duration const drain =
        mean * static_cast<duration::rep>(admission.queued) / slots;
    return std::clamp(drain, min_suggested_wait, max_suggested_wait);
}

} // namespace plantaintally::admission
