#include "node/internal/request_path.hpp"
#include "node/node.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// Nodes that configuration gossips with at a time.
constexpr std::size_t gossip_peers = 3;

std::vector<std::string> draw_gossip_peers(state& node, step& current)
{
    return membership::draw_peers(node.membership, gossip_peers, current);
}

// Hands a control message to the subject that owns it.
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
        membership::handle_message(
            this->node.membership, this->sender, received, this->current);
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
        return follow_departures(
            node,
            departures::handle_store(
                node.departures, replied.call, replied.result, current),
            current);
    }
}

void handle_time(state& node, step& current)
{
    node.asked_wake = instant::max();
    membership::handle_time(node.membership, current);
    auto const peers = draw_gossip_peers(node, current);
    configuration::handle_time(node.configuration, peers, current);
    once::handle_time(node.once, current);
    departures::handle_time(node.departures, current);
    watch_upstream(node, current);
    query::handle_time(node.queries, current);
    serve_queue(node, current);
    handle_exchange_timers(node, current);
}

// Reads and watches the route table when that is due.
void advance_routes(state& node, step& current)
{
    auto const next = routes::next_deadline(node.routes);
    if (!next || *next > current.now.monotonic)
    {
        return;
    }
    auto const peers = draw_gossip_peers(node, current);
    routes::handle_time(
        node.routes, peers, membership::member_count(node.membership), current);
}

// Hands an event to the step that handles it.
struct event_visitor
{
    state& node;
    step& current;

    void operator()(request_arrived const& happened) const
    {
        if (happened.hop)
        {
            timeline::advance(this->node.clock,
                              this->current.now.wall,
                              happened.hop->sent_at);
        }
        handle_arrival(this->node, happened, this->current);
    }

    void operator()(caller_gone const& happened) const
    {
        handle_caller_gone(this->node, happened.exchange, this->current);
    }

    void operator()(attempt_answered const& happened) const
    {
        handle_answer(this->node, happened, this->current);
    }

    void operator()(attempt_failed const& happened) const
    {
        handle_failure(this->node, happened, this->current);
    }

    void operator()(upstream_announced const& happened) const
    {
        handle_announcement(this->node, happened, this->current);
    }

    void operator()(upstream_drain_requested const&) const
    {
        handle_drain(this->node, this->current);
    }

    void operator()(upstream_reported const& happened) const
    {
        handle_report(this->node, happened, this->current);
    }

    void operator()(upstream_gone const&) const
    {
        handle_upstream_gone(this->node, this->current);
    }

    // The endpoint lags or misleads: the hint is shown to operators and
    // decides nothing.
    void operator()(health_hint const& happened) const
    {
        this->node.health = happened;
    }

    void operator()(control_received const& happened) const
    {
        control_envelope const& envelope = happened.envelope;
        timeline::advance(
            this->node.clock, this->current.now.wall, envelope.sent_at);
        std::visit(control_visitor{this->node, envelope.sender, this->current},
                   envelope.message);
    }

    void operator()(store_replied const& happened) const
    {
        handle_store_reply(this->node, happened, this->current);
    }

    void operator()(operator_command const& happened) const
    {
        handle_command(this->node, happened, this->current);
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

void start_once(state& node, step& current)
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
    if (node.own.has_routes)
    {
        departures::start(node.departures, current);
    }
}

void take_earlier(std::optional<instant> candidate, instant& earliest)
{
    earliest = std::min(earliest, candidate.value_or(instant::max()));
}

instant earliest_deadline(state const& node, instant now)
{
    instant earliest = instant::max();
    take_earlier(membership::next_deadline(node.membership), earliest);
    take_earlier(configuration::next_deadline(node.configuration), earliest);
    take_earlier(once::next_deadline(node.once), earliest);
    take_earlier(routes::next_deadline(node.routes), earliest);
    take_earlier(departures::next_deadline(node.departures), earliest);
    take_earlier(upstream_deadline(node), earliest);
    take_earlier(query::next_deadline(node.queries), earliest);
    take_earlier(lifecycle::next_deadline(node.lifecycle, now), earliest);
    take_earlier(admission::next_deadline(node.admission, now), earliest);
    if (!node.table.timers.empty())
    {
        take_earlier(node.table.timers.begin()->first, earliest);
    }
    return earliest;
}

// A wake-up that comes too early does no harm, so only an earlier one is worth
// an effect.
void ask_wake(state& node, step& current)
{
    instant const earliest = earliest_deadline(node, current.now.monotonic);
    if (earliest >= node.asked_wake)
    {
        return;
    }
    node.asked_wake = earliest;
    current.out.push_back(wake_at{earliest});
}

// Keeps the step's entries for queries; the drivers log them.
void keep_entries(state& node, effects const& out)
{
    for (effect const& asked : out)
    {
        if (auto const* recorded = std::get_if<record_entry>(&asked))
        {
            timeline::append(node.journal, recorded->entry);
        }
    }
}

} // namespace

effects reduce(state& node, event const& happened, moment const& now)
{
    effects out;
    step current{now, node.random, node.ids, node.clock, out};
    start_once(node, current);
    std::visit(event_visitor{node, current}, happened);
    advance_routes(node, current);
    follow_configuration(node, current);
    follow_members(node, current);
    follow_routes(node, current);
    handle_resolved_claims(node, current);
    serve_queue(node, current);
    finish_stop(node, current);
    ask_wake(node, current);
    keep_entries(node, out);
    return out;
}

state make_state(options const& own)
{
    state node;
    node.own = own;
    node.random = random_source(own.seed);
    node.membership.own.self = own.self;
    node.membership.own.availability_zone = own.availability_zone;
    node.membership.own.contacts = own.contacts;
    node.configuration.self = own.self;
    node.configuration.poll_interval = own.configuration_poll;
    node.configuration.availability_zone = own.availability_zone;
    node.configuration.in_force = configuration::default_document();
    node.routes.self = own.self;
    node.routes.is_enabled = own.has_routes;
    node.departures.self = own.self;
    node.once.own.self = own.self;
    node.once.own.availability_zone = own.availability_zone;
    return node;
}

} // namespace plantaintally::node
