#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find_first_of("?#"));
}

hop_context entrance_context(state const& node, request_head const& head)
{
    auto const& rank =
        configuration::classify(configuration::current(node.configuration),
                                head.service,
                                head.method,
                                path_of(head.target));
    hop_context hop;
    hop.rank = rank.name;
    hop.urgency = rank.urgency;
    hop.retries_left = std::max(rank.attempt_budget, 1U) - 1;
    return hop;
}

// Worth, protection and the newest urgency come from this node's own
// configuration; a rank that it doesn't know yet keeps the hop's urgency.
duration take_rank(state const& node, exchange& item)
{
    auto const& document = configuration::current(node.configuration);
    auto const* rank = configuration::find_rank(document, item.hop.rank);
    if (rank == nullptr)
    {
        return configuration::rank_definition{}.deadline;
    }
    item.hop.urgency = rank->urgency;
    item.worth = rank->worth;
    item.is_protected = rank->is_protected;
    return rank->deadline;
}

exchange make_exchange(state const& node,
                       request_arrived const& arrived,
                       step const& current)
{
    exchange item;
    item.id = arrived.exchange;
    item.source = arrived.source;
    item.head = arrived.head;
    item.hop =
        arrived.hop ? *arrived.hop : entrance_context(node, arrived.head);
    item.arrived_at = current.now.monotonic;
    duration const rank_deadline = take_rank(node, item);
    item.deadline =
        item.arrived_at + arrived.head.time_left.value_or(rank_deadline);
    item.retries_left = item.hop.retries_left;
    return item;
}

// Makes the call one of its parent's: same rank, no more time than the parent
// has left, and retries only out of the parent's.
bool join_parent(state& node, exchange& item, instant now)
{
    exchange* parent = find_parent(node, item.head.trace_id);
    if (parent == nullptr)
    {
        return false;
    }
    item.hop = parent->hop;
    item.hop.to_key_home = false;
    item.hop.is_delegated = false;
    item.hop.is_probe = false;
    take_rank(node, item);
    item.deadline = std::min(item.deadline, parent->deadline);
    item.head.caller = parent->head.service;
    attach_child(*parent, item, now);
    return true;
}

void note_arrival(state& node, exchange const& item, step& current)
{
    count(node, item, count_kind::arrived, {}, current);
    record(current,
           item.head.trace_id,
           "node",
           "arrived",
           "service=" + item.head.service + " rank=" + item.hop.rank +
               " depth=" + std::to_string(item.hop.depth));
}

} // namespace

void handle_arrival(state& node, request_arrived const& arrived, step& current)
{
    exchange made = make_exchange(node, arrived, current);
    bool const is_orphan = arrived.source == request_source::local &&
                           !join_parent(node, made, current.now.monotonic);
    exchange& item = node.table.exchanges[arrived.exchange];
    item = std::move(made);
    set_timer(node.table, item, item.deadline);
    note_arrival(node, item, current);
    if (is_orphan)
    {
        return refuse(node,
                      item,
                      refusal::bad_request,
                      "X-Request-Id names no request that runs here",
                      current);
    }
    if (!node.own.is_policy_enabled)
    {
        return is_origin(item) ? route_blindly(node, item, current)
                               : dispatch_blindly(node, item, current);
    }
    if (!configuration::is_ready(node.configuration))
    {
        return refuse(node,
                      item,
                      refusal::no_upstream,
                      "the configuration is not known yet",
                      current);
    }
    if (item.deadline <= current.now.monotonic)
    {
        return refuse(node,
                      item,
                      refusal::deadline_passed,
                      "no time was left on arrival",
                      current);
    }
    if (item.source == request_source::peer)
    {
        return serve_here(node, item, current);
    }
    route_request(node, item, current);
}

} // namespace plantaintally::node
