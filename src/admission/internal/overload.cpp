#include "admission/internal/overload.hpp"

#include <algorithm>

namespace plantaintally::admission
{

namespace
{

double worth_of_waiting(state const& admission, rank_queue const& asked)
{
    double sum = asked.worth;
    for (auto const& [rank, queue] : admission.queues)
    {
        bool const counts = queue.size > 0 && &queue != &asked;
        sum += counts ? queue.worth : 0;
    }
    return sum;
}

std::size_t waiting_before(state const& admission, rank_queue const& asked)
{
    std::size_t before = asked.size;
    for (auto const& [rank, queue] : admission.queues)
    {
        bool const is_sooner = queue.urgency > asked.urgency;
        before += is_sooner ? queue.size : 0;
    }
    return before;
}

bool has_waiting_below(state const& admission, rank_queue const& asked)
{
    return std::ranges::any_of(admission.queues,
                               [&](auto const& entry)
                               {
                                   rank_queue const& queue = entry.second;
                                   return queue.size > 0 &&
                                          queue.urgency < asked.urgency;
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
    admission.unprotected_closed_until = now + admission.own.protected_hold;
    for (auto& [rank, queue] : admission.queues)
    {
        if (queue.is_protected)
        {
            continue;
        }
        admission.queued -= queue.size;
        for (pending_request& item : take_all(queue))
        {
            shed.push_back(refused_request{std::move(item), refusal::overload});
        }
    }
}

rank_queue& queue_of(state& admission, pending_request const& item)
{
    auto found = admission.queues.find(item.rank);
    if (found == admission.queues.end())
    {
        found = admission.queues.emplace(item.rank, rank_queue{}).first;
    }
    rank_queue& queue = found->second;
    queue.urgency = item.urgency;
    queue.worth = std::max(item.worth, 1U);
    queue.is_protected = item.is_protected;
    return queue;
}

duration estimated_wait(state const& admission, rank_queue const& queue)
{
    std::uint32_t const slots = current_limit(admission.limit);
    double const mean_us =
        static_cast<double>(mean_service(admission.limit).count());
    if (admission.in_flight < slots || mean_us == 0)
    {
        return duration::zero();
    }
    double const served_per_us = slots / mean_us;
    double const shared = admission.own.fair_share_fraction;
    double const free_share =
        has_waiting_below(admission, queue) ? 1.0 - shared : 1.0;
    double const before =
        static_cast<double>(waiting_before(admission, queue)) + 1;
    double const by_urgency = before / (served_per_us * free_share);
    double const kept_share =
        shared * queue.worth / worth_of_waiting(admission, queue);
    double const own_waiting = static_cast<double>(queue.size) + 1;
    double const by_share = own_waiting / (served_per_us * kept_share);
    return duration(static_cast<duration::rep>(std::min(by_urgency, by_share)));
}

} // namespace plantaintally::admission
