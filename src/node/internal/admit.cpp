#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// How long a keyed execution may continue after its caller's deadline, so that
// a retry with the same key can receive the answer.
constexpr duration keyed_execution_grace = std::chrono::seconds(5);

bool matches_local_upstream(state const& node, exchange const& request)
{
    return node.lifecycle.upstream &&
           node.lifecycle.upstream->service == request.head.service;
}

admission::pending_request make_pending_request(exchange const& request)
{
    admission::pending_request result;
    result.exchange = request.id;
    result.rank = request.hop.rank;
    result.urgency = request.hop.urgency;
    result.worth = request.worth;
    result.is_protected = request.is_protected;
    result.caller = request.head.caller;
    result.deadline = request.deadline;
    return result;
}

// A request that arrives for the first time earns a fraction of a retry permit.
void earn_retry_permit(state& node, exchange const& request, step& current)
{
    bool const is_retry = request.hop.is_repeat || request.retries_made > 0 ||
                          request.upstream_refusals > 0;
    if (!is_retry && grants_retry_permits(node))
    {
        retry::note_request(
            node.retry_permits,
            retry::permit_allowance(node.startup_options.fleet_budget),
            request.hop.urgency,
            current.now.monotonic);
    }
}

// The local upstream accepts no work. If this node is the home of the request's
// key, another member executes the request; otherwise it is refused, and its
// sender can try another member.
void delegate_or_refuse(state& node, exchange& request, step& current)
{
    if (request.is_claimed)
    {
        return delegate_execution(node, request, current);
    }
    attempt_result result;
    result.reason = node.lifecycle.upstream || node.lifecycle.is_stopping
                        ? refusal::draining
                        : refusal::no_upstream;
    result.detail = "the upstream accepts no new requests";
    result.is_undelivered = true;
    retry_or_conclude(node, request, result, current);
}

void refuse_admission(state& node,
                      exchange& request,
                      refusal reason,
                      duration retry_after,
                      step& current)
{
    record(current,
           request.head.trace_id,
           "admission",
           "refused",
           "reason=" + std::string(to_string(reason)));
    attempt_result result;
    result.reason = reason;
    result.retry_after = retry_after;
    result.detail = "the upstream has no room for this request";
    result.is_undelivered = true;
    result.lacks_capacity = true;
    result.level = admission::admission_level(
        node.admission, request.hop.rank, current.now.monotonic);
    retry_or_conclude(node, request, result, current);
}

} // namespace

bool grants_retry_permits(state const& node)
{
    return node.startup_options.fleet_budget.extra_retries > 0;
}

void admit_locally(state& node, exchange& request, step& current)
{
    bool const can_serve = matches_local_upstream(node, request) &&
                           lifecycle::takes_work(node.lifecycle);
    if (!can_serve)
    {
        return delegate_or_refuse(node, request, current);
    }
    earn_retry_permit(node, request, current);
    exchange_id const id = request.id;
    auto const offered = admission::offer(
        node.admission, make_pending_request(request), current.now.monotonic);
    refuse_queued(node, offered.shed, current);
    exchange* still_open = find(node.table, id);
    if (still_open == nullptr)
    {
        return;
    }
    if (offered.kind == admission::offer_kind::refused)
    {
        return refuse_admission(
            node, *still_open, offered.reason, offered.retry_after, current);
    }
    if (offered.kind == admission::offer_kind::queued)
    {
        still_open->phase = exchange_phase::queued;
        count(node, *still_open, count_kind::queued, {}, current);
        record(current, still_open->head.trace_id, "admission", "queued", {});
        return;
    }
    dispatch(node, *still_open, current);
}

void dispatch(state& node, exchange& request, step& current)
{
    count(node, request, count_kind::admitted, {}, current);
    running_attempt const& attempt =
        start_attempt(node, request, {}, 0, current);
    ++request.executions;
    request.has_reached_upstream = true;
    request.downstream = downstream_calls{};
    node.table.by_trace.emplace(request.head.trace_id, request.id);
    duration const left =
        std::max(request.deadline - current.now.monotonic, duration(1));
    dispatch_request effect;
    effect.attempt = attempt.id;
    effect.exchange = request.id;
    effect.upstream_address =
        node.lifecycle.upstream ? node.lifecycle.upstream->address : "";
    effect.trace_id = request.head.trace_id;
    effect.caller = request.head.caller;
    effect.instance =
        node.lifecycle.upstream ? node.lifecycle.upstream->instance : "";
    effect.time_left = left;
    effect.timeout = is_keyed(request) ? left + keyed_execution_grace : left;
    current.out.push_back(std::move(effect));
    duration const waited = current.now.monotonic - request.arrived_at;
    record(current,
           request.head.trace_id,
           "admission",
           "dispatched",
           "attempt=" + std::to_string(attempt.id.value) +
               " rank=" + request.hop.rank +
               " waited_us=" + std::to_string(waited.count()) +
               " left_us=" + std::to_string(left.count()) + " in_flight=" +
               std::to_string(node.admission.in_flight) + " limit=" +
               std::to_string(admission::current_limit(node.admission.limit)));
}

void dispatch_queued(state& node, step& current)
{
    instant const now = current.now.monotonic;
    refuse_queued(node, admission::take_expired(node.admission, now), current);
    while (auto next = admission::take_next(node.admission, now))
    {
        exchange* request = find(node.table, next->exchange);
        if (request == nullptr)
        {
            admission::load_sample ignored_sample;
            ignored_sample.kind = admission::sample_kind::ignored;
            admission::finish(node.admission, next->rank, ignored_sample, now);
            continue;
        }
        dispatch(node, *request, current);
    }
}

void refuse_queued(state& node,
                   std::vector<admission::refused_request> const& refused,
                   step& current)
{
    duration const wait = admission::suggested_retry_delay(node.admission);
    for (admission::refused_request const& each : refused)
    {
        exchange* request = find(node.table, each.item.exchange);
        if (request == nullptr)
        {
            continue;
        }
        count(
            node, *request, count_kind::shed, to_string(each.reason), current);
        if (each.reason == refusal::draining)
        {
            delegate_or_refuse(node, *request, current);
            continue;
        }
        refuse_admission(node, *request, each.reason, wait, current);
    }
}

} // namespace plantaintally::node
