#include "node/internal/request_path.hpp"

#include "retry/budget.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// A hop gives the next one a little less time than it has itself, so that the
// next one's truth about the end of the request arrives in time.
constexpr duration max_hop_margin = std::chrono::milliseconds(10);
constexpr int hop_margin_divisor = 20;
// Time between two looks for the members of a service that were asked for.
constexpr duration members_check_interval = std::chrono::milliseconds(20);

duration hop_margin(duration left)
{
    return std::min(max_hop_margin, left / hop_margin_divisor);
}

routing::route_query
make_query(state const& node, exchange const& item, step const& current)
{
    routing::route_query asked;
    asked.rank = item.hop.rank;
    asked.urgency = item.hop.urgency;
    asked.availability_zone = node.own.availability_zone;
    asked.tried = item.tried;
    asked.now = current.now.monotonic;
    return asked;
}

// The own upstream competes with the other members by the same figures.
void note_own_load(state& node, exchange const& item, step& current)
{
    instant const now = current.now.monotonic;
    hop_report own;
    own.load_permille = admission::load_permille(node.admission, now);
    own.admission_level =
        admission::admission_level(node.admission, item.hop.rank, now);
    routing::note_own_report(node.routing,
                             node.own.self.address,
                             item.hop.rank,
                             own,
                             node.random,
                             now);
}

void route_to_home(state& node, exchange& item, step& current)
{
    auto const members =
        membership::members_of(node.membership, item.head.service);
    std::string home = item.key_home;
    if (home.empty())
    {
        home = once::presumed_home(members, item.head.idempotency_key);
    }
    if (home.empty())
    {
        return refuse(node,
                      item,
                      refusal::no_upstream,
                      "no member of the service is known",
                      current);
    }
    item.hop.to_key_home = true;
    if (home == node.own.self.address)
    {
        return serve_here(node, item, current);
    }
    forward(node, item, home, current);
}

// The members of a service that was not called before have to be asked for.
bool await_members(state& node, exchange& item, step& current)
{
    auto const knowledge = membership::look_up_service(
        node.membership, item.head.service, current);
    if (knowledge != membership::lookup_status::pending)
    {
        return false;
    }
    item.phase = exchange_phase::backing_off;
    instant const next = current.now.monotonic + members_check_interval;
    set_timer(node.table, item, std::min(next, item.deadline));
    return true;
}

void refuse_unrouted(state& node,
                     exchange& item,
                     routing::route_kind kind,
                     step& current)
{
    if (kind == routing::route_kind::shed)
    {
        return refuse(node,
                      item,
                      refusal::shed_at_source,
                      "no member of the service admits this rank now",
                      current);
    }
    refuse(node,
           item,
           refusal::no_upstream,
           "no member of the service takes work",
           current);
}

// Only the first sending counts; protected and keyed requests are left to the
// upstream's node.
bool is_throttled(state& node, exchange const& item, step& current)
{
    bool const is_exempt = is_keyed(item) || item.is_protected ||
                           item.retries_made + item.redirections_made > 0;
    return !is_exempt && admission::should_shed(node.throttle,
                                                item.head.service,
                                                item.hop.rank,
                                                node.random,
                                                current.now.monotonic);
}

// Takes this node's part of what the whole fleet may repeat.
void share_repeats(state& node)
{
    if (node.own.fleet_budget.extra_retries > 0)
    {
        node.retries.own = retry::node_allowance(
            node.own.fleet_budget, membership::member_count(node.membership));
    }
}

// The choice of a member with what it rested on: the route table's version, and
// the member's load with its age.
void record_forwarding(state& node,
                       exchange const& item,
                       std::string const& address,
                       step& current)
{
    auto const known = node.routing.peers.find(address);
    std::string load = "unknown";
    if (known != node.routing.peers.end() &&
        known->second.load_updated_at > instant{})
    {
        auto const age = current.now.monotonic - known->second.load_updated_at;
        load = std::to_string(known->second.load_permille) +
               " load_age_us=" + std::to_string(age.count());
    }
    record(
        current,
        item.head.trace_id,
        "routing",
        "forwarded",
        "to=" + address +
            " attempt=" + std::to_string(item.under_way->id.value) +
            " service=" + item.head.service + " rank=" + item.hop.rank +
            " routes_version=" + std::to_string(node.routes.in_force.version) +
            " tried=" + std::to_string(item.tried.size()) + " load=" + load);
}

bool is_refused_while_stopping(state const& node,
                               exchange const& item,
                               instant now)
{
    return lifecycle::refuses_callers(node.lifecycle, now) &&
           item.source == request_source::caller && !is_keyed(item);
}

} // namespace

void route_request(state& node, exchange& item, step& current)
{
    bool const is_first = item.retries_made + item.redirections_made == 0;
    if (is_first &&
        is_refused_while_stopping(node, item, current.now.monotonic))
    {
        return refuse(
            node, item, refusal::draining, "the node is stopping", current);
    }
    // Before anything is kept by the service's name, which callers choose.
    if (await_members(node, item, current))
    {
        return;
    }
    if (membership::members_of(node.membership, item.head.service).empty())
    {
        return refuse_unrouted(node, item, routing::route_kind::none, current);
    }
    if (is_first)
    {
        share_repeats(node);
        retry::note_request(node.retries,
                            item.head.service,
                            item.hop.urgency,
                            current.now.monotonic);
    }
    if (is_throttled(node, item, current))
    {
        return refuse(node,
                      item,
                      refusal::shed_at_source,
                      "the service refuses most requests of this rank",
                      current);
    }
    if (is_keyed(item))
    {
        return route_to_home(node, item, current);
    }
    auto const members =
        membership::members_of(node.membership, item.head.service);
    routing::route_query const asked = make_query(node, item, current);
    note_own_load(node, item, current);
    routing::route const chosen =
        routing::choose(node.routing, members, asked, node.random);
    if (chosen.kind != routing::route_kind::found)
    {
        return refuse_unrouted(node, item, chosen.kind, current);
    }
    item.hop.is_probe = chosen.is_probe;
    if (chosen.address == node.own.self.address)
    {
        return serve_here(node, item, current);
    }
    forward(node, item, chosen.address, current);
}

sending& start_sending(state& node,
                       exchange& item,
                       std::string peer,
                       std::uint32_t passed_retries,
                       step& current)
{
    item.phase = exchange_phase::sent;
    sending fresh;
    fresh.id = node.ids.next<attempt_id>();
    fresh.peer = std::move(peer);
    fresh.started = current.now.monotonic;
    fresh.passed_retries = passed_retries;
    node.table.by_attempt[fresh.id] = item.id;
    item.under_way = std::move(fresh);
    set_timer(node.table, item, item.deadline);
    count(node, item, count_kind::attempted, {}, current);
    return *item.under_way;
}

void forward(state& node,
             exchange& item,
             std::string const& address,
             step& current)
{
    auto const split = retry::split_for_forward(item.retries_left);
    item.retries_left = split.kept;
    sending const& sent =
        start_sending(node, item, address, split.passed, current);
    duration const left = item.deadline - current.now.monotonic;
    forward_request effect;
    effect.attempt = sent.id;
    effect.exchange = item.id;
    effect.peer_address = address;
    effect.hop = item.hop;
    effect.hop.retries_left = split.passed;
    effect.hop.depth = item.hop.depth + 1;
    effect.hop.is_repeat = item.retries_made > 0;
    effect.hop.sent_at = timeline::advance(node.clock, current.now.wall);
    if (effect.hop.route)
    {
        effect.hop.route->aim_left =
            std::max(item.aim - current.now.monotonic, duration::zero());
    }
    effect.head = item.head;
    effect.head.time_left = left - hop_margin(left);
    effect.timeout = left;
    current.out.push_back(std::move(effect));
    routing::note_sent(node.routing, address);
    record_forwarding(node, item, address, current);
}

void delegate_execution(state& node, exchange& item, step& current)
{
    auto const members =
        membership::members_of(node.membership, item.head.service);
    routing::route_query asked = make_query(node, item, current);
    asked.excluded = node.own.self.address;
    routing::route const chosen =
        routing::choose(node.routing, members, asked, node.random);
    if (chosen.kind != routing::route_kind::found)
    {
        return refuse(node,
                      item,
                      refusal::draining,
                      "no other member of the service takes work",
                      current);
    }
    item.hop.to_key_home = false;
    item.hop.is_delegated = true;
    item.hop.is_probe = chosen.is_probe;
    forward(node, item, chosen.address, current);
}

} // namespace plantaintally::node
