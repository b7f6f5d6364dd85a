#include "membership/internal/heartbeats.hpp"

#include "membership/internal/cell.hpp"
#include "membership/internal/failure_detector.hpp"
#include "membership/internal/gossip_queue.hpp"
#include "membership/internal/send.hpp"
#include "membership/internal/view.hpp"

#include <algorithm>
#include <utility>

namespace plantaintally::membership
{

namespace
{

// The recipients of the next heartbeat: random members of the cell, and all
// outside watchers, since those receive no digests of this cell.
std::vector<std::string> draw_heartbeat_targets(state const& membership,
                                                step& current)
{
    std::vector<std::string> targets = membership.cell;
    std::size_t const wanted =
        std::min(targets.size(), membership.startup_options.heartbeat_fanout);
    for (std::size_t index = 0; index < wanted; ++index)
    {
        std::size_t const chosen =
            index + draw_below(current.random, targets.size() - index);
        std::swap(targets[index], targets[chosen]);
    }
    targets.resize(wanted);
    targets.insert(targets.end(),
                   membership.outside_watchers.begin(),
                   membership.outside_watchers.end());
    return targets;
}

heartbeat make_heartbeat(state& membership, instant now)
{
    heartbeat beat;
    beat.heard = recently_heard(membership, now);
    beat.news = heartbeat_news(membership);
    beat.view_hash = hash_service(membership, membership.self_record->service);
    beat.configuration_revision = membership.configuration_revision;
    beat.routes_version = membership.routes_version;
    beat.store_era = membership.store_era;
    return beat;
}

} // namespace

std::vector<std::string> watchers_of_self(state const& membership)
{
    std::vector<std::string> targets = membership.cell;
    targets.insert(targets.end(),
                   membership.outside_watchers.begin(),
                   membership.outside_watchers.end());
    return targets;
}

void send_heartbeats(state& membership, step& current)
{
    heartbeat const beat = make_heartbeat(membership, current.now.monotonic);
    for (std::string const& address :
         draw_heartbeat_targets(membership, current))
    {
        send(address, beat, current);
    }
}

void reselect_outside_watchers(state& membership, step& current)
{
    std::vector<std::string> const dropped =
        refresh_outside_watchers(membership);
    if (dropped.empty())
    {
        return;
    }
    heartbeat last = make_heartbeat(membership, current.now.monotonic);
    last.ends_watch = true;
    for (std::string const& address : dropped)
    {
        send(address, last, current);
    }
}

void refresh_targets(state& membership, step& current)
{
    bool const is_new = refresh_cell(membership, current.now.monotonic);
    if (is_new || lacks_outside_watchers(membership))
    {
        reselect_outside_watchers(membership, current);
    }
}

} // namespace plantaintally::membership
