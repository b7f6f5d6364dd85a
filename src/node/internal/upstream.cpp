#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// Minimum interval between updates of the whole fleet's members to the
// at-most-once protocol.
constexpr duration fleet_update_interval = std::chrono::seconds(5);

void open_admission(state& node, duration cold_start, step& current)
{
    upstream_announcement const& upstream = *node.lifecycle.upstream;
    admission::open(
        node.admission, upstream.slots, cold_start, current.now.monotonic);
    warm_connections effect;
    effect.upstream_address = upstream.address;
    effect.count = std::min(upstream.slots, upstream.connections);
    effect.limit =
        upstream.connections > 0 ? upstream.connections : upstream.slots * 2;
    current.out.push_back(std::move(effect));
    record(current,
           {},
           "lifecycle",
           "opened",
           "slots=" + std::to_string(upstream.slots));
}

void stop_admission(state& node, std::string_view trigger, step& current)
{
    record(current, {}, "lifecycle", "draining", "by=" + std::string(trigger));
    membership::announce_draining(node.membership, current);
    refuse_queued(node, admission::close(node.admission), current);
}

void apply_transition(state& node,
                      lifecycle::transition change,
                      std::string_view trigger,
                      step& current)
{
    if (change == lifecycle::transition::drained)
    {
        stop_admission(node, trigger, current);
    }
    if (change == lifecycle::transition::opened)
    {
        membership::announce_undrained(node.membership, current);
        open_admission(node, duration::zero(), current);
    }
}

// True if the upstream is unchanged. An upstream with an instance name reports
// its remaining cold start time, which differs in every report and is therefore
// ignored.
bool is_unchanged(std::optional<upstream_announcement> const& known,
                  upstream_announcement fresh)
{
    if (known && !fresh.instance.empty())
    {
        fresh.cold_start = known->cold_start;
    }
    return known == fresh;
}

bool is_drained_by_operator(state const& node)
{
    auto const& drained =
        configuration::current(node.configuration).drained_nodes;
    return std::ranges::find(drained, node.startup_options.self.address) !=
           drained.end();
}

} // namespace

void handle_announcement(state& node,
                         upstream_announced const& announced,
                         step& current)
{
    upstream_announcement const& fresh = announced.announcement;
    bool const is_known = is_unchanged(node.lifecycle.upstream, fresh);
    auto const change = lifecycle::announce(node.lifecycle, fresh);
    node.local_service = fresh.service;
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
    apply_transition(node, change, "upstream", current);
}

void apply_departures(state& node,
                      departures::outcome const& result,
                      step& current)
{
    if (result.is_leaving)
    {
        handle_drain(node, current);
    }
    if (result.opened)
    {
        handle_announcement(node, upstream_announced{*result.opened}, current);
    }
}

void handle_report(state& node,
                   upstream_reported const& reported,
                   step& current)
{
    node.last_upstream_report = current.now.monotonic;
    if (reported.phase == upstream_phase::ready)
    {
        node.departures.health_path =
            routes::health_path(node.routes, reported.announcement.service);
    }
    apply_departures(
        node,
        departures::apply_report(node.departures, reported, current),
        current);
}

void note_upstream_lost(state& node, std::string_view trigger, step& current)
{
    if (!node.lifecycle.upstream || !node.startup_options.has_routes)
    {
        return;
    }
    apply_transition(
        node, lifecycle::remove_upstream(node.lifecycle), trigger, current);
}

std::optional<instant> upstream_silence_deadline(state const& node)
{
    bool const is_watched =
        node.startup_options.upstream_silence_timeout > duration::zero() &&
        node.lifecycle.upstream.has_value();
    if (!is_watched)
    {
        return std::nullopt;
    }
    return node.last_upstream_report +
           node.startup_options.upstream_silence_timeout;
}

void check_upstream_silence(state& node, step& current)
{
    auto const deadline = upstream_silence_deadline(node);
    if (deadline && *deadline <= current.now.monotonic)
    {
        note_upstream_lost(node, "upstream-silent", current);
    }
}

void handle_drain(state& node, step& current)
{
    apply_transition(node,
                     lifecycle::drain_by_upstream(node.lifecycle),
                     "upstream",
                     current);
}

void handle_upstream_gone(state& node, step& current)
{
    apply_transition(node,
                     lifecycle::remove_upstream(node.lifecycle),
                     "upstream-gone",
                     current);
}

void handle_stop(state& node, step& current)
{
    bool const is_first = !node.lifecycle.is_stopping;
    auto const change = lifecycle::stop(
        node.lifecycle,
        {node.startup_options.stop_linger, node.startup_options.stop_limit},
        current.now.monotonic);
    if (!is_first)
    {
        return;
    }
    apply_transition(node, change, "stop", current);
    if (change == lifecycle::transition::none)
    {
        membership::announce_draining(node.membership, current);
    }
    if (node.startup_options.accepts_idempotency_keys)
    {
        once::hand_over(node.once, current);
    }
}

void apply_configuration(state& node, step& current)
{
    membership::set_configuration_revision(
        node.membership, configuration::current(node.configuration).revision);
    membership::set_routes_version(node.membership,
                                   node.routes.in_force.version);
    bool const is_drained = is_drained_by_operator(node);
    if (is_drained == node.lifecycle.is_drained_by_operator)
    {
        return;
    }
    apply_transition(
        node,
        lifecycle::set_drain_by_operator(node.lifecycle, is_drained),
        "operator",
        current);
}

void publish_readiness(state& node, step& current)
{
    bool const is_configured =
        node.startup_options.has_routes
            ? routes::is_ready(node.routes)
            : configuration::is_ready(node.configuration);
    bool const is_ready = is_configured && !node.lifecycle.is_stopping;
    if (is_ready != node.is_published_ready)
    {
        node.is_published_ready = is_ready;
        current.out.push_back(tell_readiness{is_ready});
        record(current,
               {},
               "lifecycle",
               is_ready ? "ready" : "not-ready",
               "routes_version=" +
                   std::to_string(node.routes.in_force.version));
    }
    if (node.routes.in_force.version != node.published_routes_version)
    {
        node.published_routes_version = node.routes.in_force.version;
        current.out.push_back(limit_callers{node.routes.in_force.limits});
    }
}

// Members of other services can be vouchers, so the at-most-once protocol must
// know them too. The member list of the whole fleet is expensive, so it is not
// created for every change.
void update_once_members(state& node, step& current)
{
    std::uint64_t const version = membership::view_version(node.membership);
    if (!node.startup_options.accepts_idempotency_keys ||
        node.local_service.empty() || version == node.once_view_version)
    {
        return;
    }
    auto const members =
        membership::members_of(node.membership, node.local_service);
    bool const have_members_changed =
        !std::ranges::equal(members, node.once_members);
    instant const now = current.now.monotonic;
    if (!have_members_changed &&
        now < node.once_fleet_updated_at + fleet_update_interval)
    {
        return;
    }
    node.once_view_version = version;
    node.once_fleet_updated_at = now;
    node.once_members.assign(members.begin(), members.end());
    auto const fleet = membership::all_members(node.membership);
    once::handle_members(
        node.once, node.local_service, node.once_members, fleet, current);
}

void finish_stop(state& node, step& current)
{
    if (!node.lifecycle.is_stopping)
    {
        return;
    }
    bool const is_idle = node.admission.in_flight == 0;
    if (is_idle && node.lifecycle.upstream && !node.is_upstream_drain_requested)
    {
        node.is_upstream_drain_requested = true;
        current.out.push_back(drain_upstream{});
    }
    lifecycle::pending_work remaining;
    remaining.has_exchanges = !node.table.exchanges.empty();
    remaining.are_keys_handed_over =
        !node.startup_options.accepts_idempotency_keys ||
        once::is_handed_over(node.once);
    if (!lifecycle::request_exit(
            node.lifecycle, remaining, current.now.monotonic))
    {
        return;
    }
    answer_open_requests(node, current);
    membership::announce_leaving(node.membership, current);
    record(current, {}, "lifecycle", "stopped", {});
    current.out.push_back(exit_process{});
}

} // namespace plantaintally::node
