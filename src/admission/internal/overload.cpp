#include "admission/internal/overload.hpp"

#include <algorithm>

namespace plantaintally::admission
{

namespace
{

double total_waiting_worth(state const& admission, rank_queue const& target)
{
    double sum = target.worth;
    for (auto const& [rank, queue] : admission.queues)
    {
        bool const is_counted = queue.size > 0 && &queue != &target;
        sum += is_counted ? queue.worth : 0;
    }
    return sum;
}

std::size_t queued_ahead(state const& admission, rank_queue const& target)
{
    std::size_t ahead = target.size;
    for (auto const& [rank, queue] : admission.queues)
    {
        bool const is_ahead = queue.urgency > target.urgency;
        ahead += is_ahead ? queue.size : 0;
    }
    return ahead;
}

bool has_less_urgent_waiting(state const& admission, rank_queue const& target)
{
    return std::ranges::any_of(admission.queues,
                               [&](auto const& entry)
                               {
                                   rank_queue const& queue = entry.second;
                                   return queue.size > 0 &&
                                          queue.urgency < target.urgency;
                               });
}

} // namespace

bool is_unprotected_closed(state const& admission, instant now)
{
    return now < admission.unprotected_closed_until;
}

void close_unprotected(state& admission,
                       instant now,
                       std::vector<refused_request>& shed)
{
    admission.unprotected_closed_until =
        now + admission.startup_options.protected_hold;
    for (auto& [rank, queue] : admission.queues)
    {
        if (queue.is_protected)
        {
            continue;
        }
        admission.queued -= queue.size;
        for (pending_request& request : pop_all(queue))
        {
            shed.push_back(
                refused_request{std::move(request), refusal::overload});
        }
    }
}

rank_queue& queue_of(state& admission, pending_request const& request)
{
    auto found = admission.queues.find(request.rank);
    if (found == admission.queues.end())
    {
        found = admission.queues.emplace(request.rank, rank_queue{}).first;
    }
    rank_queue& queue = found->second;
    queue.urgency = request.urgency;
    queue.worth = std::max(request.worth, 1U);
    queue.is_protected = request.is_protected;
    return queue;
}

duration estimated_wait(state const& admission, rank_queue const& queue)
{
    std::uint32_t const slots = current_limit(admission.limit);
    double const mean_us =
        static_cast<double>(mean_service_time(admission.limit).count());
    if (admission.in_flight < slots || mean_us == 0)
    {
        return duration::zero();
    }
    double const served_per_us = slots / mean_us;
    double const fair_fraction = admission.startup_options.fair_share_fraction;
    double const urgent_fraction =
        has_less_urgent_waiting(admission, queue) ? 1.0 - fair_fraction : 1.0;
    double const ahead =
        static_cast<double>(queued_ahead(admission, queue)) + 1;
    double const by_urgency = ahead / (served_per_us * urgent_fraction);
    double const guaranteed_fraction =
        fair_fraction * queue.worth / total_waiting_worth(admission, queue);
    double const own_waiting = static_cast<double>(queue.size) + 1;
    double const by_fair_share =
        own_waiting / (served_per_us * guaranteed_fraction);
    return duration(
        static_cast<duration::rep>(std::min(by_urgency, by_fair_share)));
}

} // namespace plantaintally::admission
