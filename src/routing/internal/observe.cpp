#include "routing/routing.hpp"

#include <algorithm>

namespace plantaintally::routing
{

namespace
{

// Consecutive failures after which a node is ejected.
constexpr std::uint32_t failures_to_eject = 5;
constexpr duration first_ejection = std::chrono::seconds(1);
constexpr std::uint32_t max_ejection_doublings = 5;
constexpr double ejection_jitter = 0.2;
// One in this many members may be ejected at the same time, but at least one if
// there are two or more.
constexpr std::size_t members_per_ejection = 3;
constexpr duration level_lifetime = std::chrono::seconds(1);
constexpr duration first_probe_delay = std::chrono::milliseconds(100);
constexpr double probe_jitter = 0.5;
// Time for which a report of draining is valid without confirmation by
// membership.
constexpr duration draining_lifetime = std::chrono::seconds(5);

peer_view& find_or_add_view(state& routing, std::string_view address)
{
    auto const found = routing.peers.find(address);
    if (found != routing.peers.end())
    {
        return found->second;
    }
    return routing.peers[std::string(address)];
}

void finish_attempt(peer_view& view)
{
    view.in_flight -= std::min(view.in_flight, 1U);
    view.has_trial_in_flight = false;
}

bool may_eject(state const& routing,
               std::span<membership::member_record const> members,
               instant now)
{
    std::size_t const bound = std::max<std::size_t>(
        members.size() / members_per_ejection, members.size() > 1 ? 1 : 0);
    auto const ejected = std::ranges::count_if(
        members,
        [&](auto const& member)
        { return is_ejected(routing, member.node.address, now); });
    return static_cast<std::size_t>(ejected) < bound;
}

void note_level(peer_view& view,
                std::string_view rank,
                std::uint32_t level,
                random_source& random,
                instant now)
{
    auto found = view.levels.find(rank);
    if (found == view.levels.end())
    {
        if (level == 0)
        {
            return;
        }
        found =
            view.levels.emplace(std::string(rank), admission_report{}).first;
    }
    admission_report& known = found->second;
    bool const was_open = known.expires_at <= now || known.level == 0;
    if (was_open)
    {
        known.next_probe =
            now + draw_jittered(random, first_probe_delay, probe_jitter);
    }
    known.level = level;
    known.expires_at = now + level_lifetime;
}

} // namespace

void note_own_report(state& routing,
                     std::string_view address,
                     std::string_view rank,
                     hop_report const& report,
                     random_source& random,
                     instant now)
{
    peer_view& view = find_or_add_view(routing, address);
    view.load_permille = report.load_permille;
    view.load_updated_at = now;
    view.sent_since_report = 0;
    note_level(view, rank, report.admission_level, random, now);
}

void note_sent(state& routing, std::string_view address)
{
    peer_view& view = find_or_add_view(routing, address);
    ++view.in_flight;
    ++view.sent_since_report;
}

void note_report(state& routing,
                 std::string_view address,
                 std::string_view rank,
                 hop_report const& report,
                 random_source& random,
                 instant now)
{
    peer_view& view = find_or_add_view(routing, address);
    finish_attempt(view);
    view.failures = 0;
    view.ejections = 0;
    view.is_ejected = false;
    view.load_permille = report.load_permille;
    view.load_updated_at = now;
    view.sent_since_report = 0;
    view.draining_until =
        report.is_draining ? now + draining_lifetime : instant{};
    note_level(view, rank, report.admission_level, random, now);
}

void note_failure(state& routing,
                  std::string_view address,
                  std::span<membership::member_record const> members,
                  random_source& random,
                  instant now)
{
    peer_view& view = find_or_add_view(routing, address);
    bool const was_trial = view.has_trial_in_flight;
    finish_attempt(view);
    ++view.failures;
    bool const warrants_ejection =
        was_trial || view.failures >= failures_to_eject;
    if (!warrants_ejection || is_ejected(routing, address, now) ||
        !may_eject(routing, members, now))
    {
        return;
    }
    std::uint32_t const doublings =
        std::min(view.ejections, max_ejection_doublings);
    duration const ejection_time = first_ejection * (1U << doublings);
    view.is_ejected = true;
    ++view.ejections;
    view.ejected_until =
        now + draw_jittered(random, ejection_time, ejection_jitter);
}

void note_cancelled(state& routing, std::string_view address)
{
    finish_attempt(find_or_add_view(routing, address));
}

bool is_ejected(peer_view const& view, instant now)
{
    return view.is_ejected &&
           (view.ejected_until > now || view.has_trial_in_flight);
}

bool is_ejected(state const& routing, std::string_view address, instant now)
{
    auto const found = routing.peers.find(address);
    return found != routing.peers.end() && is_ejected(found->second, now);
}

void forget_absent(state& routing, std::span<std::string const> known)
{
    std::erase_if(routing.peers,
                  [&](auto const& entry)
                  {
                      return entry.second.in_flight == 0 &&
                             std::ranges::find(known, entry.first) ==
                                 known.end();
                  });
}

} // namespace plantaintally::routing
