#include "node/internal/request_path.hpp"

namespace plantaintally::node
{

namespace
{

attempt_result caller_gone_result()
{
    attempt_result result;
    result.reason = refusal::caller_gone;
    result.detail = "the caller closed its connection";
    return result;
}

// No one waits for the result, so the execution may be stopped if that is safe.
bool may_cancel(exchange const& request)
{
    return is_repeatable(request);
}

void cancel_queued(state& node, exchange& request, step& current)
{
    if (!request.joiners.empty())
    {
        return;
    }
    admission::cancel(
        node.admission, request.hop.rank, request.head.caller, request.id);
    conclude(node, request, caller_gone_result(), current);
}

void refuse_expired(state& node, exchange& request, step& current)
{
    attempt_result result;
    result.outcome = entrance_verdict(request);
    result.reason = refusal::deadline_passed;
    result.detail = "the deadline has passed";
    conclude(node, request, result, current);
}

// Answers the caller that the request may have run. The execution of a keyed
// request continues, so that a retry with the same key can receive its
// answer.
void answer_at_deadline(state& node, exchange& request, step& current)
{
    set_timer(node.table, request, instant::max());
    if (!request.is_claimed)
    {
        return;
    }
    attempt_result result;
    result.outcome = verdict::may_have_run;
    result.reason = refusal::deadline_passed;
    result.detail = "no answer arrived before the deadline";
    answer_exchange(node, request, result, current);
}

void handle_timer(state& node, exchange& request, step& current)
{
    bool const is_expired = request.deadline <= current.now.monotonic;
    switch (request.phase)
    {
    case exchange_phase::backing_off:
        set_timer(node.table, request, request.deadline);
        if (is_expired)
        {
            return refuse_expired(node, request, current);
        }
        request.phase = exchange_phase::arrived;
        if (!node.startup_options.is_policy_enabled)
        {
            return route_without_policy(node, request, current);
        }
        return route_request(node, request, current);
    case exchange_phase::attempting:
        return answer_at_deadline(node, request, current);
    case exchange_phase::queued:
        admission::cancel(
            node.admission, request.hop.rank, request.head.caller, request.id);
        return refuse_expired(node, request, current);
    case exchange_phase::arrived:
    case exchange_phase::awaiting_claim:
    case exchange_phase::joined:
        return refuse_expired(node, request, current);
    }
}

} // namespace

void handle_caller_gone(state& node, exchange_id id, step& current)
{
    exchange* request = find(node.table, id);
    if (request == nullptr || request->is_answered)
    {
        return;
    }
    request->is_answered = true;
    record(current, request->head.trace_id, "node", "caller-gone", {});
    switch (request->phase)
    {
    case exchange_phase::queued:
        return cancel_queued(node, *request, current);
    case exchange_phase::attempting:
        // A peer decides itself which work it can still cancel.
        if (may_cancel(*request) ||
            (request->hop.route && !request->current_attempt->peer.empty()))
        {
            current.out.push_back(cancel_attempt{request->current_attempt->id});
        }
        return;
    case exchange_phase::arrived:
    case exchange_phase::awaiting_claim:
    case exchange_phase::joined:
    case exchange_phase::backing_off:
        return conclude(node, *request, caller_gone_result(), current);
    }
}

void answer_open_requests(state& node, step& current)
{
    std::vector<exchange_id> open;
    for (auto const& [id, request] : node.table.exchanges)
    {
        if (!request.is_answered)
        {
            open.push_back(id);
        }
    }
    for (exchange_id const id : open)
    {
        exchange* request = find(node.table, id);
        if (request == nullptr)
        {
            continue;
        }
        attempt_result result;
        result.reason = refusal::draining;
        result.detail = "the node has stopped";
        if (request->phase == exchange_phase::attempting)
        {
            result.outcome = verdict::may_have_run;
            answer_exchange(node, *request, result, current);
            continue;
        }
        if (request->phase == exchange_phase::queued)
        {
            admission::cancel(node.admission,
                              request->hop.rank,
                              request->head.caller,
                              request->id);
        }
        result.outcome = entrance_verdict(*request);
        conclude(node, *request, result, current);
    }
}

void handle_exchange_timers(state& node, step& current)
{
    instant const now = current.now.monotonic;
    while (!node.table.timers.empty() &&
           node.table.timers.begin()->first <= now)
    {
        exchange_id const id = node.table.timers.begin()->second;
        exchange* request = find(node.table, id);
        set_timer(node.table, *request, instant::max());
        handle_timer(node, *request, current);
    }
}

} // namespace plantaintally::node
