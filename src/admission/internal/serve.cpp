#include "admission/admission.hpp"
#include "admission/internal/overload.hpp"

#include <algorithm>

namespace plantaintally::admission
{

namespace
{

// Credit at which a rank is served ahead of more urgent ranks.
constexpr double full_slot = 1.0;

// Credits each waiting rank with its fair share of one slot.
void add_credit(state& admission)
{
    double worth_sum = 0;
    for (auto const& [rank, queue] : admission.queues)
    {
        worth_sum += queue.size > 0 ? queue.worth : 0;
    }
    for (auto& [rank, queue] : admission.queues)
    {
        if (queue.size == 0)
        {
            queue.credit = 0;
            continue;
        }
        queue.credit += admission.startup_options.fair_share_fraction *
                        queue.worth / worth_sum;
    }
}

// Returns the waiting rank that gets the free slot: the one with the largest
// credit of at least a full slot, otherwise the most urgent one.
rank_queue* choose_queue(state& admission)
{
    rank_queue* owed = nullptr;
    rank_queue* urgent = nullptr;
    for (auto& [rank, queue] : admission.queues)
    {
        if (queue.size == 0)
        {
            continue;
        }
        if (queue.credit >= full_slot &&
            (owed == nullptr || queue.credit > owed->credit))
        {
            owed = &queue;
        }
        if (urgent == nullptr || queue.urgency > urgent->urgency)
        {
            urgent = &queue;
        }
    }
    return owed != nullptr ? owed : urgent;
}

bool contains_protected(std::vector<refused_request> const& requests)
{
    return std::ranges::any_of(requests,
                               [](refused_request const& refused)
                               { return refused.item.is_protected; });
}

std::vector<refused_request> remove_expired(state& admission, instant now)
{
    std::vector<refused_request> expired;
    admission.earliest_deadline = instant::max();
    for (auto& [rank, queue] : admission.queues)
    {
        if (queue.size == 0)
        {
            continue;
        }
        duration const service_time =
            typical_service_time(admission.limit, rank);
        for (pending_request& request : pop_expired(queue, now + service_time))
        {
            --admission.queued;
            expired.push_back(
                refused_request{std::move(request), refusal::deadline_passed});
        }
        admission.earliest_deadline =
            std::min(admission.earliest_deadline,
                     earliest_deadline(queue).value_or(instant::max()));
    }
    return expired;
}

} // namespace

std::optional<pending_request> take_next(state& admission, instant now)
{
    bool const is_full = admission.in_flight >= current_limit(admission.limit);
    if (is_full || admission.queued == 0)
    {
        return std::nullopt;
    }
    add_credit(admission);
    rank_queue* queue = choose_queue(admission);
    if (queue == nullptr)
    {
        return std::nullopt;
    }
    queue->credit = std::max(0.0, queue->credit - full_slot);
    pending_request next = pop(*queue, admission.startup_options.order, now);
    --admission.queued;
    ++admission.in_flight;
    return next;
}

std::vector<refused_request> take_expired(state& admission, instant now)
{
    bool const none_expired =
        now + longest_typical_service_time(admission.limit) <
        admission.earliest_deadline;
    if (admission.queued == 0 || none_expired)
    {
        return {};
    }
    std::vector<refused_request> expired = remove_expired(admission, now);
    if (!contains_protected(expired))
    {
        return expired;
    }
    std::vector<refused_request> all;
    close_unprotected(admission, now, all);
    std::stable_partition(expired.begin(),
                          expired.end(),
                          [](refused_request const& refused)
                          { return !refused.item.is_protected; });
    std::ranges::move(expired, std::back_inserter(all));
    return all;
}

} // namespace plantaintally::admission
