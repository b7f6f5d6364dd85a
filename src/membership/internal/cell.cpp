#include "membership/internal/cell.hpp"

#include "base/hash.hpp"
#include "membership/internal/view.hpp"
#include "membership/membership.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace plantaintally::membership
{

namespace
{

// A node with fewer peers in its cell needs outside watchers too.
constexpr std::size_t min_cell_peers = 3;
constexpr std::size_t outside_watcher_count = 2;

using weighted_address = std::pair<std::uint64_t, std::string_view>;

// True if the record's node needs outside watchers: its cell is small, or the
// failure of one availability zone would take down the whole cell.
bool needs_outside_watchers(state const& membership,
                            member_record const& record)
{
    std::vector<std::string> const peers = cell_of(membership, record);
    if (peers.size() < min_cell_peers)
    {
        return true;
    }
    return std::all_of(
        peers.begin(),
        peers.end(),
        [&](std::string const& address)
        {
            return find_record(membership, address)->availability_zone ==
                   record.availability_zone;
        });
}

} // namespace

std::vector<std::string> cell_of(state const& membership,
                                 member_record const& record)
{
    std::vector<weighted_address> order;
    for (member_record const& member : members_of(membership, record.service))
    {
        order.emplace_back(stable_hash(member.node.address),
                           member.node.address);
    }
    std::sort(order.begin(), order.end());
    std::size_t const cells =
        (order.size() + max_cell_size - 1) / max_cell_size;
    auto const cell_at = [&](std::size_t index)
    {
        return index * cells / order.size();
    };
    auto const own =
        std::find_if(order.begin(),
                     order.end(),
                     [&](weighted_address const& entry)
                     { return entry.second == record.node.address; });
    std::vector<std::string> peers;
    if (own == order.end())
    {
        return peers;
    }
    auto const own_index = static_cast<std::size_t>(own - order.begin());
    for (std::size_t index = 0; index < order.size(); ++index)
    {
        if (index != own_index && cell_at(index) == cell_at(own_index))
        {
            peers.emplace_back(order[index].second);
        }
    }
    return peers;
}

std::vector<std::string> outside_watchers_of(state const& membership,
                                             member_record const& record)
{
    std::vector<std::string> watchers;
    if (!needs_outside_watchers(membership, record))
    {
        return watchers;
    }
    // The zone is compared before the weight, so that watchers in another
    // availability zone are preferred.
    std::vector<std::pair<bool, weighted_address>> best;
    for (auto const& [service, records] : membership.services)
    {
        if (service == record.service)
        {
            continue;
        }
        for (member_record const& member : records)
        {
            bool const is_in_other_zone =
                member.availability_zone != record.availability_zone;
            std::uint64_t const weight =
                rendezvous_weight(member.node.address, record.node.address);
            best.push_back({is_in_other_zone, {weight, member.node.address}});
            std::sort(best.begin(), best.end(), std::greater<>());
            if (best.size() > outside_watcher_count)
            {
                best.pop_back();
            }
        }
    }
    for (auto const& [is_in_other_zone, entry] : best)
    {
        watchers.emplace_back(entry.second);
    }
    return watchers;
}

bool refresh_cell(state& membership, instant now)
{
    if (!membership.is_cell_stale || !membership.self_record)
    {
        return false;
    }
    membership.is_cell_stale = false;
    membership.cell = cell_of(membership, *membership.self_record);
    std::set<std::string, std::less<>> const members(membership.cell.begin(),
                                                     membership.cell.end());
    std::erase_if(membership.watched,
                  [&](auto const& entry) {
                      return !entry.second.is_outside_cell &&
                             !members.contains(entry.first);
                  });
    for (std::string const& address : membership.cell)
    {
        std::uint64_t const incarnation =
            find_record(membership, address)->node.incarnation;
        auto const [place, is_new] = membership.watched.try_emplace(address);
        watched_peer& peer = place->second;
        if (is_new || peer.incarnation != incarnation)
        {
            peer = watched_peer{};
            peer.incarnation = incarnation;
            peer.evidence_at = now;
        }
        peer.is_outside_cell = false;
    }
    return true;
}

std::vector<std::string> refresh_outside_watchers(state& membership)
{
    std::vector<std::string> dropped;
    if (!membership.self_record)
    {
        return dropped;
    }
    membership.members_at_watcher_selection = member_count(membership);
    std::vector<std::string> chosen =
        outside_watchers_of(membership, *membership.self_record);
    for (std::string const& address : membership.outside_watchers)
    {
        if (std::find(chosen.begin(), chosen.end(), address) == chosen.end())
        {
            dropped.push_back(address);
        }
    }
    membership.outside_watchers = std::move(chosen);
    return dropped;
}

bool lacks_outside_watchers(state const& membership)
{
    bool const is_any_gone =
        std::any_of(membership.outside_watchers.begin(),
                    membership.outside_watchers.end(),
                    [&](std::string const& address)
                    { return find_member(membership, address) == nullptr; });
    bool const may_find_more =
        membership.outside_watchers.size() < outside_watcher_count &&
        membership.members_at_watcher_selection != member_count(membership);
    return is_any_gone || may_find_more;
}

} // namespace plantaintally::membership
