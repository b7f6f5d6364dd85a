#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// A keyed execution may go on after its caller's deadline, so that a repeated
// request finds the answer.
constexpr duration keyed_grace = std::chrono::seconds(5);

bool serves_own_upstream(state const& node, exchange const& item)
{
    return node.lifecycle.upstream &&
           node.lifecycle.upstream->service == item.head.service;
}

admission::pending_request make_work(exchange const& item)
{
    admission::pending_request pending_request;
    pending_request.exchange = item.id;
    pending_request.rank = item.hop.rank;
    pending_request.urgency = item.hop.urgency;
    pending_request.worth = item.worth;
    pending_request.is_protected = item.is_protected;
    pending_request.caller = item.head.caller;
    pending_request.deadline = item.deadline;
    return pending_request;
}

// A request that comes for the first time earns a part of a permit to repeat
// one.
void note_permits(state& node, exchange const& item, step& current)
{
    bool const is_repeat = item.hop.is_repeat || item.retries_made > 0 ||
                           item.upstream_refusals > 0;
    if (!is_repeat && grants_repeats(node))
    {
        retry::note_request(node.permits,
                            retry::permit_allowance(node.own.fleet_budget),
                            item.hop.urgency,
                            current.now.monotonic);
    }
}

// The own upstream takes no work: the home of a key lets another member run
// it; every other request is refused and goes elsewhere.
void turn_away(state& node, exchange& item, step& current)
{
    if (item.is_claimed)
    {
        return delegate_execution(node, item, current);
    }
    sending_outcome ended;
    ended.reason = node.lifecycle.upstream || node.lifecycle.is_stopping
                       ? refusal::draining
                       : refusal::no_upstream;
    ended.detail = "the upstream takes no new work";
    ended.is_unsent = true;
    end_sending(node, item, ended, current);
}

void refuse_admission(state& node,
                      exchange& item,
                      refusal reason,
                      duration retry_after,
                      step& current)
{
    record(current,
           item.head.trace_id,
           "admission",
           "refused",
           "reason=" + std::string(to_string(reason)));
    sending_outcome ended;
    ended.reason = reason;
    ended.retry_after = retry_after;
    ended.detail = "the upstream has no room for this request";
    ended.is_unsent = true;
    ended.level = admission::admission_level(
        node.admission, item.hop.rank, current.now.monotonic);
    end_sending(node, item, ended, current);
}

} // namespace

bool grants_repeats(state const& node)
{
    return node.own.fleet_budget.extra_retries > 0;
}

void admit_here(state& node, exchange& item, step& current)
{
    bool const is_served = serves_own_upstream(node, item) &&
                           lifecycle::takes_work(node.lifecycle);
    if (!is_served)
    {
        return turn_away(node, item, current);
    }
    note_permits(node, item, current);
    exchange_id const id = item.id;
    auto const offered = admission::offer(
        node.admission, make_work(item), current.now.monotonic);
    refuse_waiting(node, offered.shed, current);
    exchange* still_here = find(node.table, id);
    if (still_here == nullptr)
    {
        return;
    }
    if (offered.kind == admission::offer_kind::refused)
    {
        return refuse_admission(
            node, *still_here, offered.reason, offered.retry_after, current);
    }
    if (offered.kind == admission::offer_kind::queued)
    {
        still_here->phase = exchange_phase::queued;
        count(node, *still_here, count_kind::queued, {}, current);
        record(current, still_here->head.trace_id, "admission", "queued", {});
        return;
    }
    dispatch(node, *still_here, current);
}

void dispatch(state& node, exchange& item, step& current)
{
    count(node, item, count_kind::admitted, {}, current);
    sending const& sent = start_sending(node, item, {}, 0, current);
    ++item.executions;
    item.has_reached_upstream = true;
    item.downstream = downstream_calls{};
    node.table.by_trace.emplace(item.head.trace_id, item.id);
    duration const left =
        std::max(item.deadline - current.now.monotonic, duration(1));
    dispatch_request effect;
    effect.attempt = sent.id;
    effect.exchange = item.id;
    effect.upstream_address =
        node.lifecycle.upstream ? node.lifecycle.upstream->address : "";
    effect.trace_id = item.head.trace_id;
    effect.caller = item.head.caller;
    effect.instance =
        node.lifecycle.upstream ? node.lifecycle.upstream->instance : "";
    effect.time_left = left;
    effect.timeout = is_keyed(item) ? left + keyed_grace : left;
    current.out.push_back(std::move(effect));
    duration const waited = current.now.monotonic - item.arrived_at;
    record(current,
           item.head.trace_id,
           "admission",
           "dispatched",
           "attempt=" + std::to_string(sent.id.value) + " rank=" +
               item.hop.rank + " waited_us=" + std::to_string(waited.count()) +
               " left_us=" + std::to_string(left.count()) + " in_flight=" +
               std::to_string(node.admission.in_flight) + " limit=" +
               std::to_string(admission::current_limit(node.admission.limit)));
}

void serve_queue(state& node, step& current)
{
    instant const now = current.now.monotonic;
    refuse_waiting(node, admission::take_expired(node.admission, now), current);
    while (auto next = admission::take_next(node.admission, now))
    {
        exchange* item = find(node.table, next->exchange);
        if (item == nullptr)
        {
            admission::load_sample nothing;
            nothing.kind = admission::sample_kind::ignored;
            admission::finish(node.admission, next->rank, nothing, now);
            continue;
        }
        dispatch(node, *item, current);
    }
}

void refuse_waiting(state& node,
                    std::vector<admission::refused_request> const& refused,
                    step& current)
{
    duration const wait = admission::suggested_retry_delay(node.admission);
    for (admission::refused_request const& each : refused)
    {
        exchange* item = find(node.table, each.item.exchange);
        if (item == nullptr)
        {
            continue;
        }
        count(node, *item, count_kind::shed, to_string(each.reason), current);
        if (each.reason == refusal::draining)
        {
            turn_away(node, *item, current);
            continue;
        }
        refuse_admission(node, *item, each.reason, wait, current);
    }
}

} // namespace plantaintally::node
