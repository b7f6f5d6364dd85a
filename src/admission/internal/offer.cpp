#include "admission/admission.hpp"
#include "admission/internal/overload.hpp"

#include <algorithm>

namespace plantaintally::admission
{

namespace
{

constexpr std::size_t min_queue_limit = 16;

std::size_t queue_limit(state const& admission)
{
    std::size_t const by_slots =
        static_cast<std::size_t>(admission.limit.slots) *
        admission.startup_options.queued_per_slot;
    return std::max(by_slots, min_queue_limit);
}

// True if a slot is free and no request waits for it.
bool can_run_now(state const& admission)
{
    return admission.queued == 0 &&
           admission.in_flight < current_limit(admission.limit);
}

// Reason to refuse the request instead of queueing it, or nullopt.
std::optional<refusal> queueing_refusal(state const& admission,
                                        rank_queue const& queue,
                                        pending_request const& request,
                                        instant now)
{
    duration const wait = estimated_wait(admission, queue);
    duration const service_time =
        typical_service_time(admission.limit, request.rank);
    if (now + wait + service_time > request.deadline)
    {
        return refusal::overload;
    }
    if (queue.size < queue_limit(admission))
    {
        return std::nullopt;
    }
    std::size_t const fair_share = queue.size / (queue.callers.size() + 1);
    if (queued_count(queue, request.caller) >= fair_share)
    {
        return refusal::queue_full;
    }
    return std::nullopt;
}

// Makes room in a full queue by shedding the newest request of the caller with
// the most waiting requests.
void make_room(state& admission, rank_queue& queue, offer_result& result)
{
    if (queue.size < queue_limit(admission))
    {
        return;
    }
    std::optional<pending_request> dropped = pop_from_longest(queue);
    if (dropped)
    {
        --admission.queued;
        result.shed.push_back(
            refused_request{std::move(*dropped), refusal::queue_full});
    }
}

offer_result refuse(state const& admission,
                    refusal reason,
                    std::vector<refused_request> shed)
{
    offer_result result;
    result.kind = offer_kind::refused;
    result.reason = reason;
    result.retry_after = suggested_retry_delay(admission);
    result.shed = std::move(shed);
    return result;
}

offer_result enqueue(state& admission,
                     rank_queue& queue,
                     pending_request request,
                     offer_result result)
{
    admission.earliest_deadline =
        std::min(admission.earliest_deadline, request.deadline);
    push(queue, std::move(request));
    ++admission.queued;
    result.kind = offer_kind::queued;
    return result;
}

// Queues or refuses a request that can't run at once. Before a protected
// request is refused, all waiting unprotected ones are shed and the decision is
// made again.
offer_result offer_when_loaded(state& admission,
                               rank_queue& queue,
                               pending_request request,
                               instant now)
{
    offer_result result;
    auto reason = queueing_refusal(admission, queue, request, now);
    bool const needs_room = !reason && queue.size >= queue_limit(admission);
    if (request.is_protected && (reason || needs_room))
    {
        close_unprotected(admission, now, result.shed);
        reason = queueing_refusal(admission, queue, request, now);
    }
    if (reason)
    {
        return refuse(admission, *reason, std::move(result.shed));
    }
    make_room(admission, queue, result);
    return enqueue(admission, queue, std::move(request), std::move(result));
}

} // namespace

offer_result offer(state& admission, pending_request request, instant now)
{
    request.queued_at = now;
    rank_queue& queue = queue_of(admission, request);
    if (!admission.is_open)
    {
        return refuse(admission, refusal::no_upstream, {});
    }
    duration const service_time =
        unloaded_service_time(admission.limit, request.rank);
    if (now + service_time > request.deadline && admission.in_flight > 0)
    {
        return refuse(admission, refusal::deadline_unreachable, {});
    }
    if (!request.is_protected && is_unprotected_closed(admission, now))
    {
        return refuse(admission, refusal::overload, {});
    }
    if (can_run_now(admission))
    {
        ++admission.in_flight;
        return offer_result{offer_kind::admitted, {}, {}, {}};
    }
    return offer_when_loaded(admission, queue, std::move(request), now);
}

} // namespace plantaintally::admission
