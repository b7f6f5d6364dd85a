#include "routing/routing.hpp"

#include <algorithm>

namespace plantaintally::routing
{

namespace
{

// From this load on, members of this node's zone compete with those of other
// zones: all their slots are in use.
constexpr std::uint32_t spill_over_permille = 1000;
// A member of another zone is chosen only if its load is lower by at least this
// much: half of a member's slots, which is the shortest wait that justifies the
// latency between zones. Without a margin, two fully loaded zones would send
// their requests to each other.
constexpr std::uint32_t cross_zone_margin_permille = 500;
// Load that one request in flight adds to a member with a single slot.
constexpr std::uint32_t permille_per_slot = 1000;
// Time after which a load report is ignored.
constexpr duration load_lifetime = std::chrono::seconds(2);
constexpr duration probe_interval = std::chrono::milliseconds(100);
constexpr double probe_jitter = 0.5;

using member_list = std::vector<membership::member_record const*>;

peer_view const* find_view(state const& routing, std::string_view address)
{
    auto const found = routing.peers.find(address);
    return found == routing.peers.end() ? nullptr : &found->second;
}

bool accepts_requests(state const& routing,
                      membership::member_record const& member,
                      instant now)
{
    if (member.status == membership::member_status::draining ||
        member.status == membership::member_status::gone)
    {
        return false;
    }
    peer_view const* view = find_view(routing, member.node.address);
    return view == nullptr || view->draining_until <= now;
}

bool is_closed(peer_view const& view, route_query const& request)
{
    auto const found = view.levels.find(request.rank);
    if (found == view.levels.end() || found->second.expires_at <= request.now)
    {
        return false;
    }
    return found->second.level > request.urgency;
}

bool was_tried(route_query const& request, std::string const& address)
{
    return std::ranges::find(request.tried, address) != request.tried.end();
}

// Keeps only the members that fulfil the condition, or all if none does.
template <class Condition>
void prefer(member_list& members, Condition const& condition)
{
    member_list kept;
    std::ranges::copy_if(members, std::back_inserter(kept), condition);
    if (!kept.empty())
    {
        members = std::move(kept);
    }
}

member_list usable_members(state const& routing,
                           std::span<membership::member_record const> members,
                           route_query const& request)
{
    member_list usable;
    for (membership::member_record const& member : members)
    {
        if (member.node.address != request.excluded &&
            accepts_requests(routing, member, request.now))
        {
            usable.push_back(&member);
        }
    }
    prefer(usable,
           [](auto const* member)
           { return member->status == membership::member_status::alive; });
    prefer(usable,
           [&](auto const* member)
           { return !is_ejected(routing, member->node.address, request.now); });
    return usable;
}

std::uint32_t estimated_load_permille(state const& routing,
                                      membership::member_record const& member,
                                      instant now)
{
    peer_view const* view = find_view(routing, member.node.address);
    if (view == nullptr)
    {
        return 0;
    }
    std::uint32_t const slots = std::max(member.slots, 1U);
    bool const is_fresh = view->load_updated_at + load_lifetime > now;
    if (!is_fresh)
    {
        return view->in_flight * permille_per_slot / slots;
    }
    return view->load_permille +
           view->sent_since_report * permille_per_slot / slots;
}

membership::member_record const* less_loaded(state const& routing,
                                             member_list const& members,
                                             instant now,
                                             random_source& random)
{
    if (members.empty())
    {
        return nullptr;
    }
    auto const* first = members[draw_below(random, members.size())];
    auto const* second = members[draw_below(random, members.size())];
    if (estimated_load_permille(routing, *second, now) <
        estimated_load_permille(routing, *first, now))
    {
        return second;
    }
    return first;
}

membership::member_record const* choose_by_zone(state const& routing,
                                                member_list const& members,
                                                route_query const& request,
                                                random_source& random)
{
    member_list same_zone;
    member_list other_zones;
    for (auto const* member : members)
    {
        bool const is_same_zone =
            member->availability_zone == request.availability_zone;
        (is_same_zone ? same_zone : other_zones).push_back(member);
    }
    auto const* best = less_loaded(routing, same_zone, request.now, random);
    if (best != nullptr &&
        estimated_load_permille(routing, *best, request.now) <
            spill_over_permille)
    {
        return best;
    }
    auto const* other = less_loaded(routing, other_zones, request.now, random);
    if (best == nullptr || other == nullptr)
    {
        return best == nullptr ? other : best;
    }
    bool const is_other_zone_better =
        estimated_load_permille(routing, *other, request.now) +
            cross_zone_margin_permille <=
        estimated_load_permille(routing, *best, request.now);
    return is_other_zone_better ? other : best;
}

// Returns a closed member to which a probe is due, or nullptr, and schedules
// its next probe.
membership::member_record const* find_due_probe(state& routing,
                                                member_list const& closed,
                                                route_query const& request,
                                                random_source& random)
{
    for (auto const* member : closed)
    {
        auto& levels = routing.peers.find(member->node.address)->second.levels;
        admission_report& report = levels.find(request.rank)->second;
        if (report.next_probe <= request.now)
        {
            report.next_probe =
                request.now +
                draw_jittered(random, probe_interval, probe_jitter);
            return member;
        }
    }
    return nullptr;
}

// An ejected node gets a single trial request when its ejection time has
// passed.
void mark_trial(state& routing, std::string const& address)
{
    auto const found = routing.peers.find(address);
    if (found != routing.peers.end() && found->second.is_ejected)
    {
        found->second.has_trial_in_flight = true;
    }
}

} // namespace

route choose(state& routing,
             std::span<membership::member_record const> members,
             route_query const& request,
             random_source& random)
{
    member_list usable = usable_members(routing, members, request);
    if (usable.empty())
    {
        return {};
    }
    member_list open;
    member_list closed;
    for (auto const* member : usable)
    {
        peer_view const* view = find_view(routing, member->node.address);
        bool const is_closed_for_rank =
            view != nullptr && is_closed(*view, request);
        (is_closed_for_rank ? closed : open).push_back(member);
    }
    auto const* probed = find_due_probe(routing, closed, request, random);
    if (probed != nullptr)
    {
        return route{route_kind::found, probed->node.address, true};
    }
    if (open.empty())
    {
        return route{route_kind::shed, {}, false};
    }
    prefer(open,
           [&](auto const* member)
           { return !was_tried(request, member->node.address); });
    auto const* chosen = choose_by_zone(routing, open, request, random);
    mark_trial(routing, chosen->node.address);
    return route{route_kind::found, chosen->node.address, false};
}

std::uint32_t
lowest_admission_level(state const& routing,
                       std::span<membership::member_record const> members,
                       std::string_view rank,
                       instant now)
{
    std::optional<std::uint32_t> lowest;
    for (membership::member_record const& member : members)
    {
        if (!accepts_requests(routing, member, now))
        {
            continue;
        }
        peer_view const* view = find_view(routing, member.node.address);
        if (view == nullptr)
        {
            return 0;
        }
        auto const found = view->levels.find(rank);
        bool const is_known =
            found != view->levels.end() && found->second.expires_at > now;
        std::uint32_t const level = is_known ? found->second.level : 0;
        lowest = std::min(lowest.value_or(level), level);
    }
    return lowest.value_or(0);
}

} // namespace plantaintally::routing
