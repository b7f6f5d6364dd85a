// Chooses the members and vouchers of a cell. Nodes with the same view of the
// membership and the same newest epoch choose the same.
#include "base/hash.hpp"
#include "once/internal/proposal.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

using member_records = std::span<membership::member_record const>;

bool is_live(membership::member_record const& member)
{
    return member.status == membership::member_status::alive ||
           member.status == membership::member_status::suspected;
}

bool is_listed(std::vector<node_id> const& nodes, node_id const& wanted)
{
    return std::ranges::find(nodes, wanted) != nodes.end();
}

// Live nodes by availability zone. In each zone the nodes of the cell's service
// come first, then the others, both by descending rendezvous weight.
using zone_candidates = std::map<std::string, std::vector<node_id>>;

void add_candidates(zone_candidates& zones,
                    member_records nodes,
                    std::string_view cell)
{
    zone_candidates added;
    for (membership::member_record const& node : nodes)
    {
        std::vector<node_id> const& known = zones[node.availability_zone];
        if (is_live(node) && !is_listed(known, node.node))
        {
            added[node.availability_zone].push_back(node.node);
        }
    }
    auto const weight = [cell](node_id const& node)
    {
        return rendezvous_weight(node.address, cell);
    };
    for (auto& [zone, candidates] : added)
    {
        std::ranges::sort(candidates, std::ranges::greater{}, weight);
        std::vector<node_id>& known = zones[zone];
        known.insert(known.end(), candidates.begin(), candidates.end());
    }
}

std::vector<node_id> keep_live_vouchers(std::vector<node_id> const& present,
                                        zone_candidates const& zones)
{
    std::vector<node_id> kept;
    for (node_id const& voucher : present)
    {
        auto const has_voucher = [&voucher](auto const& zone)
        {
            return is_listed(zone.second, voucher);
        };
        if (std::ranges::any_of(zones, has_voucher))
        {
            kept.push_back(voucher);
        }
    }
    return kept;
}

std::size_t count_chosen(std::vector<node_id> const& candidates,
                         std::vector<node_id> const& chosen)
{
    auto const is_chosen = [&chosen](node_id const& node)
    {
        return is_listed(chosen, node);
    };
    return static_cast<std::size_t>(
        std::ranges::count_if(candidates, is_chosen));
}

// The next candidate of the zone with the fewest vouchers chosen so far;
// nullptr if every candidate is chosen.
node_id const* next_voucher(zone_candidates const& zones,
                            std::vector<node_id> const& chosen)
{
    node_id const* best = nullptr;
    std::size_t fewest = voucher_count;
    for (auto const& [zone, candidates] : zones)
    {
        std::size_t const chosen_count = count_chosen(candidates, chosen);
        auto const is_not_chosen = [&chosen](node_id const& node)
        {
            return !is_listed(chosen, node);
        };
        auto const next_candidate =
            std::ranges::find_if(candidates, is_not_chosen);
        if (next_candidate != candidates.end() && chosen_count < fewest)
        {
            best = &*next_candidate;
            fewest = chosen_count;
        }
    }
    return best;
}

} // namespace

std::vector<node_id> choose_members(member_records members,
                                    std::string_view cell)
{
    std::vector<node_id> chosen;
    for (membership::member_record const& member : members)
    {
        if (is_live(member))
        {
            chosen.push_back(member.node);
        }
    }
    auto const weight = [cell](node_id const& node)
    {
        return rendezvous_weight(node.address, cell);
    };
    std::ranges::sort(chosen, std::ranges::greater{}, weight);
    chosen.resize(std::min(chosen.size(), max_cell_members));
    std::ranges::sort(chosen);
    return chosen;
}

std::vector<node_id> choose_vouchers(member_records members,
                                     member_records fleet,
                                     cell_state const& cell)
{
    zone_candidates zones;
    add_candidates(zones, members, cell.name);
    add_candidates(zones, fleet, cell.name);
    std::vector<node_id> chosen;
    if (!cell.epochs.empty())
    {
        chosen = keep_live_vouchers(cell.epochs.back().content.vouchers, zones);
    }
    while (chosen.size() < voucher_count)
    {
        node_id const* next = next_voucher(zones, chosen);
        if (next == nullptr)
        {
            break;
        }
        chosen.push_back(*next);
    }
    std::ranges::sort(chosen);
    return chosen;
}

std::string presumed_home(member_records members,
                          std::string_view key,
                          std::uint32_t cell_count)
{
    if (members.empty())
    {
        return {};
    }
    std::string const cell = cell_of(members.front().service, key, cell_count);
    epoch presumed;
    presumed.members = choose_members(members, cell);
    node_id const* home = home_of(presumed, key);
    return home == nullptr ? std::string() : home->address;
}

} // namespace plantaintally::once
