#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// The at-most-once protocol is told of the whole fleet at most this often.
constexpr duration fleet_interval = std::chrono::seconds(5);

void open_admission(state& node, duration cold_start, step& current)
{
    upstream_announcement const& upstream = *node.lifecycle.upstream;
    admission::open(
        node.admission, upstream.slots, cold_start, current.now.monotonic);
    warm_connections effect;
    effect.upstream_address = upstream.address;
    effect.count = std::min(upstream.slots, upstream.connections);
    effect.limit = upstream.connections;
    current.out.push_back(std::move(effect));
    record(current,
           {},
           "lifecycle",
           "opened",
           "slots=" + std::to_string(upstream.slots));
}

void stop_admission(state& node, std::string_view why, step& current)
{
    record(current, {}, "lifecycle", "draining", "by=" + std::string(why));
    membership::announce_draining(node.membership, current);
    refuse_waiting(node, admission::close(node.admission), current);
}

void apply(state& node,
           lifecycle::transition change,
           std::string_view why,
           step& current)
{
    if (change == lifecycle::transition::drained)
    {
        stop_admission(node, why, current);
    }
    if (change == lifecycle::transition::opened)
    {
        membership::announce_undrained(node.membership, current);
        open_admission(node, duration::zero(), current);
    }
}

bool is_drained_by_operator(state const& node)
{
    auto const& drained =
        configuration::current(node.configuration).drained_nodes;
    return std::ranges::find(drained, node.own.self.address) != drained.end();
}

} // namespace

void handle_announcement(state& node,
                         upstream_announced const& announced,
                         step& current)
{
    upstream_announcement const& fresh = announced.announcement;
    bool const is_known = node.lifecycle.upstream == fresh;
    auto const change = lifecycle::announce(node.lifecycle, fresh);
    node.own_service = fresh.service;
    if (!is_known)
    {
        membership::announce(node.membership, fresh, current);
        if (!lifecycle::takes_work(node.lifecycle))
        {
            membership::announce_draining(node.membership, current);
            return;
        }
        membership::announce_undrained(node.membership, current);
        return open_admission(node, fresh.cold_start, current);
    }
    apply(node, change, "upstream", current);
}

void handle_drain(state& node, step& current)
{
    apply(node,
          lifecycle::drain_by_upstream(node.lifecycle),
          "upstream",
          current);
}

void handle_upstream_gone(state& node, step& current)
{
    apply(node,
          lifecycle::remove_upstream(node.lifecycle),
          "upstream-gone",
          current);
}

void handle_stop(state& node, step& current)
{
    bool const is_first = !node.lifecycle.is_stopping;
    auto const change = lifecycle::stop(
        node.lifecycle, node.own.stop_limit, current.now.monotonic);
    if (!is_first)
    {
        return;
    }
    apply(node, change, "stop", current);
    if (change == lifecycle::transition::none)
    {
        membership::announce_draining(node.membership, current);
    }
    once::hand_over(node.once, current);
}

void follow_configuration(state& node, step& current)
{
    membership::note_configuration(
        node.membership, configuration::current(node.configuration).revision);
    bool const is_drained = is_drained_by_operator(node);
    if (is_drained == node.lifecycle.is_drained_by_operator)
    {
        return;
    }
    apply(node,
          lifecycle::set_drain_by_operator(node.lifecycle, is_drained),
          "operator",
          current);
}

// Members of other services can vouch, so the at-most-once protocol has to
// learn of them too; the list of a large fleet is not made for every change.
void follow_members(state& node, step& current)
{
    std::uint64_t const version = membership::view_version(node.membership);
    if (node.own_service.empty() || version == node.known_view_version)
    {
        return;
    }
    auto const members =
        membership::members_of(node.membership, node.own_service);
    bool const is_own_news = !std::ranges::equal(members, node.known_members);
    instant const now = current.now.monotonic;
    if (!is_own_news && now < node.fleet_told_at + fleet_interval)
    {
        return;
    }
    node.known_view_version = version;
    node.fleet_told_at = now;
    node.known_members.assign(members.begin(), members.end());
    auto const fleet = membership::all_members(node.membership);
    once::handle_members(
        node.once, node.own_service, node.known_members, fleet, current);
}

void finish_stop(state& node, step& current)
{
    if (!node.lifecycle.is_stopping)
    {
        return;
    }
    bool const is_idle = node.admission.in_flight == 0;
    if (is_idle && node.lifecycle.upstream && !node.is_upstream_told_to_drain)
    {
        node.is_upstream_told_to_drain = true;
        current.out.push_back(drain_upstream{});
    }
    lifecycle::open_work left;
    left.has_exchanges = !node.table.exchanges.empty();
    left.are_keys_handed_over = once::is_handed_over(node.once);
    if (!lifecycle::ask_exit(node.lifecycle, left, current.now.monotonic))
    {
        return;
    }
    membership::announce_leaving(node.membership, current);
    record(current, {}, "lifecycle", "stopped", {});
    current.out.push_back(exit_process{});
}

} // namespace plantaintally::node
