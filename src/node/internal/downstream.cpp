#include "node/internal/request_path.hpp"

#include "retry/budget.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

constexpr std::uint32_t first_server_error = 500;

// An origin reserves the retries that it may need itself.
std::uint32_t retries_for_children(exchange const& parent)
{
    if (!is_origin(parent))
    {
        return parent.retries_left;
    }
    return retry::split_for_forward(parent.retries_left).passed;
}

void close_call(downstream_calls& calls, instant now)
{
    calls.open -= std::min(calls.open, 1U);
    if (calls.open == 0)
    {
        calls.waited += now - calls.open_since;
    }
}

bool is_refused_by_level(exchange const& child, attempt_result const& result)
{
    return result.reason && result.outcome == verdict::not_run &&
           result.level > child.hop.urgency;
}

} // namespace

exchange* find_parent(state& node, std::string_view trace_id)
{
    auto const [first, last] = node.table.by_trace.equal_range(trace_id);
    exchange* chosen = nullptr;
    for (auto entry = first; entry != last; ++entry)
    {
        exchange* candidate = find(node.table, entry->second);
        if (chosen == nullptr || candidate->deadline > chosen->deadline)
        {
            chosen = candidate;
        }
    }
    return chosen;
}

void attach_child(exchange& parent, exchange& child, instant now)
{
    std::uint32_t const granted_retries =
        retry::child_budget(retries_for_children(parent));
    parent.retries_left -= granted_retries;
    child.retries_left = granted_retries;
    child.parent = parent.id;
    downstream_calls& calls = parent.downstream;
    if (calls.open == 0)
    {
        calls.open_since = now;
    }
    ++calls.open;
}

bool has_failed(attempt_result const& result)
{
    return result.reason.has_value() || result.status >= first_server_error;
}

void detach_child(state& node,
                  exchange const& child,
                  attempt_result const& result,
                  instant now)
{
    auto const [first, last] =
        node.table.by_trace.equal_range(child.head.trace_id);
    for (auto entry = first; entry != last; ++entry)
    {
        exchange* running = find(node.table, entry->second);
        if (child.source == request_source::local &&
            result.outcome != verdict::not_run)
        {
            running->downstream.outcome = verdict::may_have_run;
        }
    }
    exchange* parent = find(node.table, child.parent);
    if (parent == nullptr)
    {
        return;
    }
    parent->retries_left += child.retries_left;
    parent->executions += child.executions;
    close_call(parent->downstream, now);
    parent->downstream.is_refused =
        parent->downstream.is_refused || has_failed(result);
    if (is_refused_by_level(child, result))
    {
        parent->downstream.refused_level =
            std::max(parent->downstream.refused_level, result.level);
    }
}

verdict fold_verdict(exchange const& request, verdict local_outcome)
{
    verdict const downstream_outcome = request.downstream.open > 0
                                           ? verdict::may_have_run
                                           : request.downstream.outcome;
    return fold_downstream(local_outcome, downstream_outcome);
}

bool was_shed_downstream(exchange const& request, attempt_result const& result)
{
    return has_failed(result) && request.downstream.refused_level > 0;
}

} // namespace plantaintally::node
