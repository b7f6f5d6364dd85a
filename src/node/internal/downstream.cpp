#include "node/internal/request_path.hpp"

#include "retry/budget.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

constexpr std::uint32_t first_server_error = 500;

// An origin keeps back what it needs for its own retry.
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

bool is_refused_for_level(exchange const& child, sending_outcome const& ended)
{
    return ended.reason && ended.outcome == verdict::not_run &&
           ended.level > child.hop.urgency;
}

} // namespace

exchange* find_parent(state& node, std::string_view trace_id)
{
    auto const [first, last] = node.table.by_trace.equal_range(trace_id);
    exchange* chosen = nullptr;
    for (auto place = first; place != last; ++place)
    {
        exchange* candidate = find(node.table, place->second);
        if (chosen == nullptr || candidate->deadline > chosen->deadline)
        {
            chosen = candidate;
        }
    }
    return chosen;
}

void attach_child(exchange& parent, exchange& child, instant now)
{
    std::uint32_t const share =
        retry::child_budget(retries_for_children(parent));
    parent.retries_left -= share;
    child.retries_left = share;
    child.parent = parent.id;
    downstream_calls& calls = parent.downstream;
    if (calls.open == 0)
    {
        calls.open_since = now;
    }
    ++calls.open;
}

bool has_failed(sending_outcome const& ended)
{
    return ended.reason.has_value() || ended.status >= first_server_error;
}

void detach_child(state& node,
                  exchange const& child,
                  sending_outcome const& ended,
                  instant now)
{
    auto const [first, last] =
        node.table.by_trace.equal_range(child.head.trace_id);
    for (auto place = first; place != last; ++place)
    {
        exchange* running = find(node.table, place->second);
        if (child.source == request_source::local &&
            ended.outcome != verdict::not_run)
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
        parent->downstream.is_refused || has_failed(ended);
    if (is_refused_for_level(child, ended))
    {
        parent->downstream.refused_level =
            std::max(parent->downstream.refused_level, ended.level);
    }
}

verdict fold_verdict(exchange const& item, verdict own)
{
    verdict const below = item.downstream.open > 0 ? verdict::may_have_run
                                                   : item.downstream.outcome;
    return fold_downstream(own, below);
}

bool was_shed_below(exchange const& item, sending_outcome const& ended)
{
    return has_failed(ended) && item.downstream.refused_level > 0;
}

} // namespace plantaintally::node
