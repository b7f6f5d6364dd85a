#include "membership/internal/failure_detector.hpp"

#include "membership/internal/gossip_queue.hpp"
#include "membership/internal/send.hpp"
#include "membership/internal/view.hpp"
#include "membership/membership.hpp"

#include <algorithm>
#include <iterator>

namespace plantaintally::membership
{

namespace
{

// The digest lists the nodes that the sender has received messages from within
// this multiple of the heartbeat interval; it is above one because intervals
// are jittered.
constexpr double digest_window = 1.25;

// Maximum number of doubted members asked at a time.
constexpr std::size_t max_asked_members = 64;
// Number of nodes that ask a doubted member in a round, on average. In a larger
// fleet some nodes ask and the others learn the answer by gossip, so that the
// messages to one member don't grow with the fleet.
constexpr std::size_t max_asking_nodes = 64;

duration silence_timeout(state const& membership)
{
    return membership.startup_options.heartbeat_interval *
           membership.startup_options.missed_heartbeat_limit;
}

bool is_isolated(state const& membership, instant now)
{
    return !membership.last_message_at ||
           now - *membership.last_message_at >= silence_timeout(membership);
}

void change_status(state& membership,
                   member_record changed,
                   member_status status,
                   step& current)
{
    changed.status = status;
    changed.status_version += 1;
    learn(membership, changed, current);
    std::string const& address = changed.node.address;
    // Also inform the suspect itself, so that it can refute.
    renew_link_to(address, current);
    send(address, gossip{{changed}, false}, current);
    record(current,
           "",
           "membership",
           status == member_status::gone ? "member-gone" : "member-suspected",
           "address=" + address + " service=" + changed.service);
}

// Updates the suspicion of one watched node; returns true if the node no longer
// needs to be watched.
bool check_watched_peer(state& membership,
                        std::string const& address,
                        watched_peer& peer,
                        step& current)
{
    instant const now = current.now.monotonic;
    member_record const* const held = find_record(membership, address);
    if (held == nullptr || held->status == member_status::gone)
    {
        return true;
    }
    if (now - peer.evidence_at < silence_timeout(membership))
    {
        peer.suspected_at.reset();
        return false;
    }
    if (!peer.suspected_at)
    {
        peer.suspected_at = now;
        if (held->status != member_status::suspected)
        {
            change_status(membership, *held, member_status::suspected, current);
        }
        return false;
    }
    if (now - *peer.suspected_at >=
        membership.startup_options.suspicion_timeout)
    {
        change_status(membership, *held, member_status::gone, current);
        return true;
    }
    send(address, gossip{{*held}, false}, current);
    return false;
}

} // namespace

void note_message_from(state& membership, node_id const& sender, step& current)
{
    instant const now = current.now.monotonic;
    membership.last_message_at = now;
    auto const place = membership.watched.find(sender.address);
    if (place != membership.watched.end() &&
        place->second.incarnation == sender.incarnation)
    {
        place->second.heard_at = now;
        place->second.evidence_at = now;
    }
}

void note_digest(state& membership,
                 std::vector<std::uint32_t> const& heard,
                 instant now)
{
    if (!membership.startup_options.uses_digests)
    {
        return;
    }
    instant const at_least =
        now - membership.startup_options.heartbeat_interval;
    for (auto& [address, peer] : membership.watched)
    {
        bool const is_heard =
            std::find(heard.begin(), heard.end(), short_hash(address)) !=
            heard.end();
        if (is_heard)
        {
            peer.evidence_at = std::max(peer.evidence_at, at_least);
        }
    }
}

std::vector<std::uint32_t> recently_heard(state const& membership, instant now)
{
    std::vector<std::uint32_t> heard;
    auto const window = std::chrono::duration_cast<duration>(
        membership.startup_options.heartbeat_interval * digest_window);
    for (auto const& [address, peer] : membership.watched)
    {
        if (peer.heard_at && now - *peer.heard_at <= window)
        {
            heard.push_back(short_hash(address));
        }
    }
    return heard;
}

void compensate_for_pause(state& membership, duration lateness, instant now)
{
    auto const shift = [&](instant& time)
    {
        time = std::min(now, time + lateness);
    };
    for (auto& [address, peer] : membership.watched)
    {
        shift(peer.evidence_at);
        if (peer.suspected_at)
        {
            shift(*peer.suspected_at);
        }
    }
}

void check_watched_peers(state& membership, step& current)
{
    if (is_isolated(membership, current.now.monotonic))
    {
        return;
    }
    std::vector<std::string> dropped;
    for (auto& [address, peer] : membership.watched)
    {
        if (check_watched_peer(membership, address, peer, current))
        {
            dropped.push_back(address);
        }
    }
    for (std::string const& address : dropped)
    {
        membership.watched.erase(address);
    }
}

void ask_doubted_members(state& membership, step& current)
{
    std::erase_if(membership.doubted,
                  [&](auto const& entry)
                  { return entry.second <= current.now.monotonic; });
    auto const count = membership.doubted.size();
    if (count == 0)
    {
        return;
    }
    auto next = std::next(
        membership.doubted.begin(),
        static_cast<std::ptrdiff_t>(draw_below(current.random, count)));
    auto const known = std::max<std::size_t>(member_count(membership), 1);
    for (std::size_t asked = 0; asked < std::min(count, max_asked_members);
         ++asked)
    {
        auto const* const held = find_record(membership, next->first);
        bool const is_asking =
            draw_below(current.random, known) < max_asking_nodes;
        if (held != nullptr && is_asking)
        {
            renew_link_to(next->first, current);
            send(next->first, gossip{{*held}, false}, current);
        }
        if (++next == membership.doubted.end())
        {
            next = membership.doubted.begin();
        }
    }
}

} // namespace plantaintally::membership
