#include "node/internal/request_path.hpp"

namespace plantaintally::node
{

namespace
{

sending_outcome gone_outcome()
{
    sending_outcome ended;
    ended.reason = refusal::caller_gone;
    ended.detail = "the caller closed its connection";
    return ended;
}

// Nobody waits for this execution any more, and to stop it half-way does no
// harm.
bool may_cancel(exchange const& item)
{
    return is_repeatable(item);
}

void abandon_queued(state& node, exchange& item, step& current)
{
    if (!item.joiners.empty())
    {
        return;
    }
    admission::cancel(node.admission, item.hop.rank, item.head.caller, item.id);
    conclude(node, item, gone_outcome(), current);
}

void end_waiting(state& node, exchange& item, step& current)
{
    sending_outcome ended;
    ended.outcome = entrance_verdict(item);
    ended.reason = refusal::deadline_passed;
    ended.detail = "the time for this request is over";
    conclude(node, item, ended, current);
}

// The caller is told that the request may have run; the execution of a key
// goes on, so that a repeated request finds its answer.
void answer_early(state& node, exchange& item, step& current)
{
    set_timer(node.table, item, instant::max());
    if (!item.is_claimed)
    {
        return;
    }
    sending_outcome ended;
    ended.outcome = verdict::may_have_run;
    ended.reason = refusal::deadline_passed;
    ended.detail = "no answer came in time";
    answer_exchange(node, item, ended, current);
}

void handle_due(state& node, exchange& item, step& current)
{
    bool const is_over = item.deadline <= current.now.monotonic;
    switch (item.phase)
    {
    case exchange_phase::backing_off:
        set_timer(node.table, item, item.deadline);
        if (is_over)
        {
            return end_waiting(node, item, current);
        }
        item.phase = exchange_phase::arrived;
        if (!node.own.is_policy_enabled)
        {
            return route_blindly(node, item, current);
        }
        return route_request(node, item, current);
    case exchange_phase::sent:
        return answer_early(node, item, current);
    case exchange_phase::queued:
        admission::cancel(
            node.admission, item.hop.rank, item.head.caller, item.id);
        return end_waiting(node, item, current);
    case exchange_phase::arrived:
    case exchange_phase::waiting_claim:
    case exchange_phase::joined:
        return end_waiting(node, item, current);
    }
}

} // namespace

void handle_caller_gone(state& node, exchange_id id, step& current)
{
    exchange* item = find(node.table, id);
    if (item == nullptr || item->is_answered)
    {
        return;
    }
    item->is_answered = true;
    record(current, item->head.trace_id, "node", "caller-gone", {});
    switch (item->phase)
    {
    case exchange_phase::queued:
        return abandon_queued(node, *item, current);
    case exchange_phase::sent:
        // Another node decides itself what it may still stop.
        if (may_cancel(*item) ||
            (item->hop.route && !item->under_way->peer.empty()))
        {
            current.out.push_back(cancel_attempt{item->under_way->id});
        }
        return;
    case exchange_phase::arrived:
    case exchange_phase::waiting_claim:
    case exchange_phase::joined:
    case exchange_phase::backing_off:
        return conclude(node, *item, gone_outcome(), current);
    }
}

void handle_exchange_timers(state& node, step& current)
{
    instant const now = current.now.monotonic;
    while (!node.table.timers.empty() &&
           node.table.timers.begin()->first <= now)
    {
        exchange_id const id = node.table.timers.begin()->second;
        exchange* item = find(node.table, id);
        set_timer(node.table, *item, instant::max());
        handle_due(node, *item, current);
    }
}

} // namespace plantaintally::node
