#include "membership/internal/failure_detector.hpp"

#include "membership/internal/news.hpp"
#include "membership/internal/send.hpp"
#include "membership/internal/view.hpp"

#include <algorithm>

namespace plantaintally::membership
{

namespace
{

// The digest lists whom the sender heard in this multiple of the heartbeat
// interval; above one since intervals are jittered.
constexpr double digest_window = 1.25;

duration silence_limit(state const& membership)
{
    return membership.own.heartbeat_interval * membership.own.missed_heartbeats;
}

bool is_isolated(state const& membership, instant now)
{
    return !membership.heard_anyone_at ||
           now - *membership.heard_anyone_at >= silence_limit(membership);
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
    // The suspect itself is told, so that it can refute.
    send(address, gossip{{changed}, false}, current);
    record(current,
           "",
           "membership",
           status == member_status::gone ? "member-gone" : "member-suspected",
           "address=" + address + " service=" + changed.service);
}

// Takes one watched node a step further; true if it need not be watched more.
bool judge_peer(state& membership,
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
    if (now - peer.evidence_at < silence_limit(membership))
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
    if (now - *peer.suspected_at >= membership.own.suspicion_timeout)
    {
        change_status(membership, *held, member_status::gone, current);
        return true;
    }
    send(address, gossip{{*held}, false}, current);
    return false;
}

} // namespace

void note_heard(state& membership, node_id const& sender, step& current)
{
    instant const now = current.now.monotonic;
    membership.heard_anyone_at = now;
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
    if (!membership.own.uses_digests)
    {
        return;
    }
    instant const at_least = now - membership.own.heartbeat_interval;
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

std::vector<std::uint32_t> heard_lately(state const& membership, instant now)
{
    std::vector<std::uint32_t> heard;
    auto const window = std::chrono::duration_cast<duration>(
        membership.own.heartbeat_interval * digest_window);
    for (auto const& [address, peer] : membership.watched)
    {
        if (peer.heard_at && now - *peer.heard_at <= window)
        {
            heard.push_back(short_hash(address));
        }
    }
    return heard;
}

void forgive_lateness(state& membership, duration lateness, instant now)
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

void judge_peers(state& membership, step& current)
{
    if (is_isolated(membership, current.now.monotonic))
    {
        return;
    }
    std::vector<std::string> dropped;
    for (auto& [address, peer] : membership.watched)
    {
        if (judge_peer(membership, address, peer, current))
        {
            dropped.push_back(address);
        }
    }
    for (std::string const& address : dropped)
    {
        membership.watched.erase(address);
    }
}

} // namespace plantaintally::membership
