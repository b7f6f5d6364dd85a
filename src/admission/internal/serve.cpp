#include "admission/admission.hpp"
#include "admission/internal/overload.hpp"

#include <algorithm>

namespace plantaintally::admission
{

namespace
{

// Credit of one whole slot, by which a rank's share goes before urgency.
constexpr double whole_slot = 1.0;

// Hands the waiting ranks their part of one slot.
void hand_out_credit(state& admission)
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
        queue.credit +=
            admission.own.fair_share_fraction * queue.worth / worth_sum;
    }
}

// The waiting rank that a free slot goes to: one that is owed a whole slot,
// else the most urgent one.
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
        if (queue.credit >= whole_slot &&
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

bool takes_protected(std::vector<refused_request> const& taken)
{
    return std::ranges::any_of(taken,
                               [](refused_request const& refused)
                               { return refused.item.is_protected; });
}

std::vector<refused_request> take_late_work(state& admission, instant now)
{
    std::vector<refused_request> late;
    admission.earliest_deadline = instant::max();
    for (auto& [rank, queue] : admission.queues)
    {
        if (queue.size == 0)
        {
            continue;
        }
        duration const service = typical_service(admission.limit, rank);
        for (pending_request& item : take_late(queue, now + service))
        {
            --admission.queued;
            late.push_back(
                refused_request{std::move(item), refusal::deadline_passed});
        }
        admission.earliest_deadline =
            std::min(admission.earliest_deadline,
                     earliest_deadline(queue).value_or(instant::max()));
    }
    return late;
}

} // namespace

std::optional<pending_request> take_next(state& admission, instant now)
{
    bool const is_full = admission.in_flight >= current_limit(admission.limit);
    if (is_full || admission.queued == 0)
    {
        return std::nullopt;
    }
    hand_out_credit(admission);
    rank_queue* queue = choose_queue(admission);
    if (queue == nullptr)
    {
        return std::nullopt;
    }
    queue->credit = std::max(0.0, queue->credit - whole_slot);
    pending_request next = pop(*queue, admission.own.order, now);
    --admission.queued;
    ++admission.in_flight;
    return next;
}

std::vector<refused_request> take_expired(state& admission, instant now)
{
    bool const is_early =
        now + longest_typical(admission.limit) < admission.earliest_deadline;
    if (admission.queued == 0 || is_early)
    {
        return {};
    }
    std::vector<refused_request> late = take_late_work(admission, now);
    if (!takes_protected(late))
    {
        return late;
    }
    std::vector<refused_request> all;
    close_unprotected(admission, now, all);
    std::stable_partition(late.begin(),
                          late.end(),
                          [](refused_request const& refused)
                          { return !refused.item.is_protected; });
    std::ranges::move(late, std::back_inserter(all));
    return all;
}

} // namespace plantaintally::admission
