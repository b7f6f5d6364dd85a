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

// A member, and what this node has observed of it; null if nothing yet.
struct candidate
{
    membership::member_record const* member = nullptr;
    peer_view* view = nullptr;
};

using candidate_list = std::vector<candidate>;

peer_view* find_view(state& routing, std::string_view address)
{
    auto const found = routing.peers.find(address);
    return found == routing.peers.end() ? nullptr : &found->second;
}

bool accepts_requests(membership::member_record const& member,
                      peer_view const* view,
                      instant now)
{
    if (member.status == membership::member_status::draining ||
        member.status == membership::member_status::gone)
    {
        return false;
    }
    return view == nullptr || view->draining_until <= now;
}

bool is_closed(candidate const& each, route_query const& request)
{
    if (each.view == nullptr)
    {
        return false;
    }
    auto const found = each.view->levels.find(request.rank);
    if (found == each.view->levels.end() ||
        found->second.expires_at <= request.now)
    {
        return false;
    }
    return found->second.level > request.urgency;
}

bool was_tried(route_query const& request, std::string const& address)
{
    return std::ranges::find(request.tried, address) != request.tried.end();
}

// Keeps only the candidates that fulfil the condition, or all if none does.
template <class Condition>
void prefer(candidate_list& candidates, Condition const& condition)
{
    auto const preferred =
        std::stable_partition(candidates.begin(), candidates.end(), condition);
    if (preferred != candidates.begin())
    {
        candidates.erase(preferred, candidates.end());
    }
}

candidate_list
usable_candidates(state& routing,
                  std::span<membership::member_record const> members,
                  route_query const& request)
{
    candidate_list usable;
    usable.reserve(members.size());
    for (membership::member_record const& member : members)
    {
        peer_view* const view = find_view(routing, member.node.address);
        if (member.node.address != request.excluded &&
            accepts_requests(member, view, request.now))
        {
            usable.push_back({&member, view});
        }
    }
    prefer(usable,
           [](candidate const& each)
           { return each.member->status == membership::member_status::alive; });
    prefer(usable,
           [&](candidate const& each) {
               return each.view == nullptr ||
                      !is_ejected(*each.view, request.now);
           });
    return usable;
}

std::uint32_t estimated_load_permille(candidate const& each, instant now)
{
    if (each.view == nullptr)
    {
        return 0;
    }
    peer_view const& view = *each.view;
    std::uint32_t const slots = std::max(each.member->slots, 1U);
    bool const is_fresh = view.load_updated_at + load_lifetime > now;
    if (!is_fresh)
    {
        return view.in_flight * permille_per_slot / slots;
    }
    return view.load_permille +
           view.sent_since_report * permille_per_slot / slots;
}

// Returns the less loaded of two random candidates, or nullptr if there are
// none.
candidate const* less_loaded(std::span<candidate const> candidates,
                             instant now,
                             random_source& random)
{
    if (candidates.empty())
    {
        return nullptr;
    }
    auto const& first = candidates[draw_below(random, candidates.size())];
    auto const& second = candidates[draw_below(random, candidates.size())];
    bool const is_second_better = estimated_load_permille(second, now) <
                                  estimated_load_permille(first, now);
    return is_second_better ? &second : &first;
}

candidate const& choose_by_zone(candidate_list& candidates,
                                route_query const& request,
                                random_source& random)
{
    auto const is_same_zone = [&](candidate const& each)
    {
        return each.member->availability_zone == request.availability_zone;
    };
    auto const first_other = std::stable_partition(
        candidates.begin(), candidates.end(), is_same_zone);
    std::span<candidate const> const same_zone(candidates.begin(), first_other);
    std::span<candidate const> const other_zones(first_other, candidates.end());
    auto const* best = less_loaded(same_zone, request.now, random);
    if (best != nullptr &&
        estimated_load_permille(*best, request.now) < spill_over_permille)
    {
        return *best;
    }
    auto const* other = less_loaded(other_zones, request.now, random);
    if (best == nullptr || other == nullptr)
    {
        return best == nullptr ? *other : *best;
    }
    bool const is_other_zone_better =
        estimated_load_permille(*other, request.now) +
            cross_zone_margin_permille <=
        estimated_load_permille(*best, request.now);
    return is_other_zone_better ? *other : *best;
}

// Returns a closed member to which a probe is due, or nullptr, and schedules
// its next probe.
membership::member_record const*
find_due_probe(std::span<candidate const> closed,
               route_query const& request,
               random_source& random)
{
    for (candidate const& each : closed)
    {
        auto& levels = each.view->levels;
        admission_report& report = levels.find(request.rank)->second;
        if (report.next_probe <= request.now)
        {
            report.next_probe =
                request.now +
                draw_jittered(random, probe_interval, probe_jitter);
            return each.member;
        }
    }
    return nullptr;
}

} // namespace

route choose(state& routing,
             std::span<membership::member_record const> members,
             route_query const& request,
             random_source& random)
{
    candidate_list open = usable_candidates(routing, members, request);
    if (open.empty())
    {
        return {};
    }
    auto const first_closed = std::stable_partition(
        open.begin(),
        open.end(),
        [&](candidate const& each) { return !is_closed(each, request); });
    auto const* probed = find_due_probe(
        std::span<candidate const>(first_closed, open.end()), request, random);
    if (probed != nullptr)
    {
        return route{route_kind::found, probed->node.address, true};
    }
    open.erase(first_closed, open.end());
    if (open.empty())
    {
        return route{route_kind::shed, {}, false};
    }
    prefer(open,
           [&](candidate const& each)
           { return !was_tried(request, each.member->node.address); });
    candidate const& chosen = choose_by_zone(open, request, random);
    // An ejected node gets a single trial request when its ejection time has
    // passed.
    if (chosen.view != nullptr && chosen.view->is_ejected)
    {
        chosen.view->has_trial_in_flight = true;
    }
    return route{route_kind::found, chosen.member->node.address, false};
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
        auto const peer = routing.peers.find(member.node.address);
        peer_view const* view =
            peer == routing.peers.end() ? nullptr : &peer->second;
        if (!accepts_requests(member, view, now))
        {
            continue;
        }
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
