#include "node/internal/request_path.hpp"

#include "retry/budget.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// A hop passes on slightly less time than it has left, so that the next hop's
// report of the result arrives before its own deadline.
constexpr duration max_hop_margin = std::chrono::milliseconds(10);
constexpr int hop_margin_divisor = 20;
// Interval at which a waiting request checks whether the requested members of
// its service have arrived.
constexpr duration members_poll_interval = std::chrono::milliseconds(20);

duration hop_margin(duration left)
{
    return std::min(max_hop_margin, left / hop_margin_divisor);
}

routing::route_query make_route_query(state const& node,
                                      exchange const& request,
                                      step const& current)
{
    routing::route_query criteria;
    criteria.rank = request.hop.rank;
    criteria.urgency = request.hop.urgency;
    criteria.availability_zone = node.startup_options.availability_zone;
    criteria.tried = request.tried;
    criteria.now = current.now.monotonic;
    return criteria;
}

// Records the load of the local upstream, so that this node is compared with
// the other members by the same measures.
void note_local_load(state& node, exchange const& request, step& current)
{
    instant const now = current.now.monotonic;
    hop_report local_report;
    local_report.load_permille = admission::load_permille(node.admission, now);
    local_report.admission_level =
        admission::admission_level(node.admission, request.hop.rank, now);
    routing::note_own_report(node.routing,
                             node.startup_options.self.address,
                             request.hop.rank,
                             local_report,
                             node.random,
                             now);
}

void route_to_home(state& node, exchange& request, step& current)
{
    auto const members =
        membership::members_of(node.membership, request.head.service);
    std::string home = request.key_home;
    if (home.empty())
    {
        home = once::presumed_home(members, request.head.idempotency_key);
    }
    if (home.empty())
    {
        return refuse(node,
                      request,
                      refusal::no_upstream,
                      "no member of the service is known",
                      current);
    }
    request.hop.to_key_home = true;
    if (home == node.startup_options.self.address)
    {
        return serve_locally(node, request, current);
    }
    forward(node, request, home, current);
}

// The members of a service that this node has not called before must first be
// requested. Returns true if the request waits for them.
bool await_members(state& node, exchange& request, step& current)
{
    auto const lookup = membership::look_up_service(
        node.membership, request.head.service, current);
    if (lookup != membership::lookup_status::pending)
    {
        return false;
    }
    request.phase = exchange_phase::backing_off;
    instant const next = current.now.monotonic + members_poll_interval;
    set_timer(node.table, request, std::min(next, request.deadline));
    return true;
}

void refuse_unrouted(state& node,
                     exchange& request,
                     routing::route_kind kind,
                     step& current)
{
    if (kind == routing::route_kind::shed)
    {
        return refuse(node,
                      request,
                      refusal::shed_at_source,
                      "no member of the service currently admits this rank",
                      current);
    }
    refuse(node,
           request,
           refusal::no_upstream,
           "no member of the service accepts work",
           current);
}

// Only the first attempt can be throttled. For protected and keyed requests,
// the node beside the upstream decides.
bool is_throttled(state& node, exchange const& request, step& current)
{
    bool const is_exempt = is_keyed(request) || request.is_protected ||
                           request.retries_made + request.redirections_made > 0;
    return !is_exempt && admission::should_shed(node.throttle,
                                                request.head.service,
                                                request.hop.rank,
                                                node.random,
                                                current.now.monotonic);
}

// True if the gate refuses the request as new work. Requests that wait for
// their service's members come here again and are not asked twice.
bool is_turned_away(state& node, exchange& request, step& current)
{
    bool const is_new_work = is_origin(request) && request.hop.route &&
                             !is_upstream_call(request) &&
                             !request.is_protected && !is_keyed(request);
    if (!is_new_work || request.has_entered)
    {
        return false;
    }
    request.has_entered = admission::may_enter(node.entrance,
                                               request.head.service,
                                               request.hop.rank,
                                               node.random,
                                               current.now.monotonic);
    return !request.has_entered;
}

// Updates this node's share of the fleet's retry budget.
void update_retry_allowance(state& node)
{
    if (node.startup_options.fleet_budget.extra_retries > 0)
    {
        node.retries.bucket_allowance =
            retry::node_allowance(node.startup_options.fleet_budget,
                                  membership::member_count(node.membership));
    }
}

// Records the selected member and the data behind the selection: the version of
// the route table, and the member's load with the age of that value.
void record_forwarding(state& node,
                       exchange const& request,
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
        request.head.trace_id,
        "routing",
        "forwarded",
        "to=" + address +
            " attempt=" + std::to_string(request.current_attempt->id.value) +
            " service=" + request.head.service + " rank=" + request.hop.rank +
            " routes_version=" + std::to_string(node.routes.in_force.version) +
            " tried=" + std::to_string(request.tried.size()) + " load=" + load);
}

bool is_refused_while_stopping(state const& node,
                               exchange const& request,
                               instant now)
{
    return lifecycle::refuses_callers(node.lifecycle, now) &&
           request.source == request_source::caller && !is_keyed(request);
}

} // namespace

void route_request(state& node, exchange& request, step& current)
{
    bool const is_first = request.retries_made + request.redirections_made == 0;
    if (is_first &&
        is_refused_while_stopping(node, request, current.now.monotonic))
    {
        return refuse(
            node, request, refusal::draining, "the node is stopping", current);
    }
    // Precedes everything that stores state by service name, since callers can
    // choose arbitrary names.
    if (await_members(node, request, current))
    {
        return;
    }
    if (membership::members_of(node.membership, request.head.service).empty())
    {
        return refuse_unrouted(
            node, request, routing::route_kind::none, current);
    }
    if (is_first)
    {
        update_retry_allowance(node);
        retry::note_request(node.retries,
                            request.head.service,
                            request.hop.urgency,
                            current.now.monotonic);
    }
    if (is_throttled(node, request, current))
    {
        return refuse(node,
                      request,
                      refusal::shed_at_source,
                      "the service refuses most requests of this rank",
                      current);
    }
    if (is_first && is_turned_away(node, request, current))
    {
        return refuse(node,
                      request,
                      refusal::shed_at_source,
                      "a service that this request needs has no capacity left",
                      current);
    }
    if (is_keyed(request))
    {
        return route_to_home(node, request, current);
    }
    auto const members =
        membership::members_of(node.membership, request.head.service);
    routing::route_query const criteria =
        make_route_query(node, request, current);
    note_local_load(node, request, current);
    routing::route const chosen =
        routing::choose(node.routing, members, criteria, node.random);
    if (chosen.kind != routing::route_kind::found)
    {
        return refuse_unrouted(node, request, chosen.kind, current);
    }
    request.hop.is_probe = chosen.is_probe;
    if (chosen.address == node.startup_options.self.address)
    {
        return serve_locally(node, request, current);
    }
    forward(node, request, chosen.address, current);
}

running_attempt& start_attempt(state& node,
                               exchange& request,
                               std::string peer,
                               std::uint32_t passed_retries,
                               step& current)
{
    request.phase = exchange_phase::attempting;
    running_attempt fresh;
    fresh.id = node.ids.next<attempt_id>();
    fresh.peer = std::move(peer);
    fresh.started = current.now.monotonic;
    fresh.passed_retries = passed_retries;
    node.table.by_attempt[fresh.id] = request.id;
    request.current_attempt = std::move(fresh);
    set_timer(node.table, request, request.deadline);
    count(node, request, count_kind::attempted, {}, current);
    return *request.current_attempt;
}

void forward(state& node,
             exchange& request,
             std::string const& address,
             step& current)
{
    auto const split = retry::split_for_forward(request.retries_left);
    request.retries_left = split.kept;
    running_attempt const& attempt =
        start_attempt(node, request, address, split.passed, current);
    duration const left = request.deadline - current.now.monotonic;
    forward_request effect;
    effect.attempt = attempt.id;
    effect.exchange = request.id;
    effect.peer_address = address;
    effect.hop = request.hop;
    effect.hop.retries_left = split.passed;
    effect.hop.depth = request.hop.depth + 1;
    effect.hop.is_repeat = request.retries_made > 0;
    effect.hop.sent_at = timeline::advance(node.clock, current.now.wall);
    if (effect.hop.route)
    {
        effect.hop.route->aim_left = std::max(
            request.target_deadline - current.now.monotonic, duration::zero());
    }
    effect.head = request.head;
    effect.head.time_left = left - hop_margin(left);
    effect.timeout = left;
    current.out.push_back(std::move(effect));
    routing::note_sent(node.routing, address);
    record_forwarding(node, request, address, current);
}

void delegate_execution(state& node, exchange& request, step& current)
{
    auto const members =
        membership::members_of(node.membership, request.head.service);
    routing::route_query criteria = make_route_query(node, request, current);
    criteria.excluded = node.startup_options.self.address;
    routing::route const chosen =
        routing::choose(node.routing, members, criteria, node.random);
    if (chosen.kind != routing::route_kind::found)
    {
        return refuse(node,
                      request,
                      refusal::draining,
                      "no other member of the service accepts work",
                      current);
    }
    request.hop.to_key_home = false;
    request.hop.is_delegated = true;
    request.hop.is_probe = chosen.is_probe;
    forward(node, request, chosen.address, current);
}

} // namespace plantaintally::node
