#include "node/internal/request_path.hpp"
#include "node/node.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// Number of peers per gossip round of the configuration.
constexpr std::size_t gossip_peers = 3;

std::vector<std::string> draw_gossip_peers(state& node, step& current)
{
    return membership::draw_peers(node.membership, gossip_peers, current);
}

// Informs the modules that depend on the history of the key-value store if it
// has come back from an older copy, which raises its era. `before` is the era
// that was known before the step, zero if none was.
void note_restore(state& node, std::uint64_t before, step& current)
{
    if (before == 0 || before == membership::store_era(node.membership))
    {
        return;
    }
    routes::handle_store_restored(node.routes, current);
    departures::handle_store_restored(node.departures, current);
}

// Passes a control message to the module that owns it.
struct control_visitor
{
    state& node;
    node_id const& sender;
    step& current;

    void operator()(membership::message const& received) const
    {
        if (auto const* beat = std::get_if<membership::heartbeat>(&received))
        {
            configuration::note_peer_revision(this->node.configuration,
                                              this->sender.address,
                                              beat->configuration_revision,
                                              this->current);
            routes::note_peer_version(this->node.routes,
                                      this->sender.address,
                                      beat->routes_version,
                                      this->current);
        }
        auto const era = membership::store_era(this->node.membership);
        membership::handle_message(
            this->node.membership, this->sender, received, this->current);
        note_restore(this->node, era, this->current);
    }

    void operator()(configuration::message const& received) const
    {
        auto const peers = draw_gossip_peers(this->node, this->current);
        configuration::handle_message(this->node.configuration,
                                      this->sender,
                                      received,
                                      peers,
                                      this->current);
    }

    void operator()(once::message const& received) const
    {
        once::handle_message(
            this->node.once, this->sender, received, this->current);
    }

    void operator()(routes::message const& received) const
    {
        routes::handle_message(
            this->node.routes, this->sender, received, this->current);
    }

    void operator()(query::message const& received) const
    {
        handle_query(this->node, this->sender, received, this->current);
    }
};

void handle_store_reply(state& node,
                        store_replied const& replied,
                        step& current)
{
    auto const era = membership::store_era(node.membership);
    membership::note_store_era(node.membership, replied.era, current);
    note_restore(node, era, current);
    membership::note_store_reply(
        node.membership, replied.call, replied.result, current);
    if (!std::holds_alternative<store_unavailable>(replied.result))
    {
        routes::give_up_overtaken(node.routes, replied.call, current);
        apply_departures(node,
                         departures::give_up_overtaken(
                             node.departures, replied.call, current),
                         current);
    }
    switch (replied.client)
    {
    case store_client::membership:
        return membership::handle_store(
            node.membership, replied.call, replied.result, current);
    case store_client::configuration:
        return configuration::handle_store(
            node.configuration, replied.call, replied.result, current);
    case store_client::once:
        return once::handle_store(
            node.once, replied.call, replied.result, current);
    case store_client::routes:
        return routes::handle_store(
            node.routes, replied.call, replied.result, current);
    case store_client::departures:
        return apply_departures(
            node,
            departures::handle_store(
                node.departures, replied.call, replied.result, current),
            current);
    }
}

void handle_time(state& node, step& current)
{
    node.scheduled_wakeup = instant::max();
    membership::handle_time(node.membership, current);
    auto const peers = draw_gossip_peers(node, current);
    configuration::handle_time(node.configuration, peers, current);
    once::handle_time(node.once, current);
    departures::handle_time(node.departures, current);
    check_upstream_silence(node, current);
    query::handle_time(node.queries, current);
    dispatch_queued(node, current);
    handle_exchange_timers(node, current);
}

// Reads or watches the route table when its next wake-up is due.
void poll_routes(state& node, step& current)
{
    auto const next = routes::next_wakeup(node.routes);
    if (!next || *next > current.now.monotonic)
    {
        return;
    }
    auto const peers = draw_gossip_peers(node, current);
    routes::handle_time(
        node.routes, peers, membership::member_count(node.membership), current);
}

// Passes an event to its handler.
struct event_visitor
{
    state& node;
    step& current;

    void operator()(request_arrived const& incoming) const
    {
        if (incoming.hop)
        {
            timeline::advance(this->node.clock,
                              this->current.now.wall,
                              incoming.hop->sent_at);
        }
        handle_arrival(this->node, incoming, this->current);
    }

    void operator()(caller_gone const& incoming) const
    {
        handle_caller_gone(this->node, incoming.exchange, this->current);
    }

    void operator()(attempt_answered const& incoming) const
    {
        handle_answer(this->node, incoming, this->current);
    }

    void operator()(attempt_failed const& incoming) const
    {
        handle_failure(this->node, incoming, this->current);
    }

    void operator()(upstream_announced const& incoming) const
    {
        handle_announcement(this->node, incoming, this->current);
    }

    void operator()(upstream_drain_requested const&) const
    {
        handle_drain(this->node, this->current);
    }

    void operator()(upstream_reported const& incoming) const
    {
        handle_report(this->node, incoming, this->current);
    }

    void operator()(upstream_gone const&) const
    {
        handle_upstream_gone(this->node, this->current);
    }

    // The health endpoint can be delayed or wrong, so the hint is only shown to
    // operators and does not influence decisions.
    void operator()(health_hint const& incoming) const
    {
        this->node.health = incoming;
    }

    void operator()(upstream_checked const& incoming) const
    {
        apply_departures(this->node,
                         departures::handle_check(
                             this->node.departures, incoming, this->current),
                         this->current);
    }

    void operator()(control_received const& incoming) const
    {
        control_envelope const& envelope = incoming.envelope;
        timeline::advance(
            this->node.clock, this->current.now.wall, envelope.sent_at);
        std::visit(control_visitor{this->node, envelope.sender, this->current},
                   envelope.message);
    }

    void operator()(store_replied const& incoming) const
    {
        handle_store_reply(this->node, incoming, this->current);
    }

    void operator()(operator_command const& incoming) const
    {
        handle_command(this->node, incoming, this->current);
    }

    void operator()(timer_fired const&) const
    {
        handle_time(this->node, this->current);
    }

    void operator()(stop_requested const&) const
    {
        handle_stop(this->node, this->current);
    }
};

void start_modules(state& node, step& current)
{
    if (node.is_started)
    {
        return;
    }
    node.is_started = true;
    membership::start(node.membership, current);
    configuration::start(node.configuration, current);
    routes::start(node.routes, current);
    once::start(node.once, current);
    if (node.startup_options.has_routes)
    {
        departures::start(node.departures, current);
    }
}

void update_earliest(std::optional<instant> candidate, instant& earliest)
{
    earliest = std::min(earliest, candidate.value_or(instant::max()));
}

instant earliest_wakeup(state const& node, instant now)
{
    instant earliest = instant::max();
    update_earliest(membership::next_wakeup(node.membership), earliest);
    update_earliest(configuration::next_wakeup(node.configuration), earliest);
    update_earliest(once::next_wakeup(node.once), earliest);
    update_earliest(routes::next_wakeup(node.routes), earliest);
    update_earliest(departures::next_wakeup(node.departures), earliest);
    update_earliest(upstream_silence_deadline(node), earliest);
    update_earliest(query::next_wakeup(node.queries), earliest);
    update_earliest(lifecycle::next_wakeup(node.lifecycle, now), earliest);
    update_earliest(admission::next_wakeup(node.admission, now), earliest);
    if (!node.table.timers.empty())
    {
        update_earliest(node.table.timers.begin()->first, earliest);
    }
    return earliest;
}

// Requests a wake-up at the earliest time at which a module needs one. A
// wake-up that comes too early is harmless, so an effect is emitted only if
// that time is before the scheduled wake-up.
void request_wakeup(state& node, step& current)
{
    instant const earliest = earliest_wakeup(node, current.now.monotonic);
    if (earliest >= node.scheduled_wakeup)
    {
        return;
    }
    node.scheduled_wakeup = earliest;
    current.out.push_back(wake_at{earliest});
}

// Stores the time-line entries of the step for queries. The drivers write them
// to the log.
void append_to_journal(state& node, effects const& out)
{
    for (effect const& emitted : out)
    {
        if (auto const* recorded = std::get_if<record_entry>(&emitted))
        {
            timeline::append(node.journal, recorded->entry);
        }
    }
}

} // namespace

effects reduce(state& node, event const& incoming, moment const& now)
{
    effects out;
    step current{now, node.random, node.ids, node.clock, out};
    start_modules(node, current);
    std::visit(event_visitor{node, current}, incoming);
    poll_routes(node, current);
    apply_configuration(node, current);
    update_once_members(node, current);
    publish_readiness(node, current);
    handle_resolved_claims(node, current);
    dispatch_queued(node, current);
    finish_stop(node, current);
    request_wakeup(node, current);
    append_to_journal(node, out);
    return out;
}

state make_state(options const& startup_options)
{
    state node;
    node.startup_options = startup_options;
    node.random = random_source(startup_options.seed);
    node.membership.startup_options.self = startup_options.self;
    node.membership.startup_options.availability_zone =
        startup_options.availability_zone;
    node.membership.startup_options.contacts = startup_options.contacts;
    node.configuration.self = startup_options.self;
    node.configuration.poll_interval =
        startup_options.configuration_poll_interval;
    node.configuration.availability_zone = startup_options.availability_zone;
    node.configuration.in_force = configuration::default_document();
    node.routes.self = startup_options.self;
    node.routes.is_enabled = startup_options.has_routes;
    node.departures.self = startup_options.self;
    node.once.startup_options.self = startup_options.self;
    node.once.startup_options.availability_zone =
        startup_options.availability_zone;
    return node;
}

} // namespace plantaintally::node
