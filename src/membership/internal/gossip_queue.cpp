#include "membership/internal/gossip_queue.hpp"

#include "base/hash.hpp"
#include "membership/internal/send.hpp"
#include "membership/internal/view.hpp"
#include "membership/membership.hpp"

#include <algorithm>
#include <tuple>

namespace plantaintally::membership
{

namespace
{

// Maximum number of records in one heartbeat.
constexpr std::size_t max_heartbeat_items = 8;
// Maximum number of queued records. The one sent most often is dropped if there
// are more; comparisons of views repair what that misses.
constexpr std::size_t max_queued_items = 2048;

// The items in sending order: those of the own service first, then those sent
// least often. Ties are ordered differently at each node, so that many
// simultaneous changes spread about evenly.
template <class Items>
auto order_items(Items& items, std::string const& own_service)
{
    using item_type =
        std::remove_reference_t<decltype((items.begin()->second))>;
    std::vector<item_type*> ordered;
    ordered.reserve(items.size());
    for (auto& [address, item] : items)
    {
        ordered.push_back(&item);
    }
    auto const rank = [&own_service](item_type const* item)
    {
        bool const is_other_service = item->record.service != own_service;
        return std::make_tuple(
            is_other_service, item->transmissions, item->tie_break);
    };
    std::stable_sort(ordered.begin(),
                     ordered.end(),
                     [&rank](item_type const* left, item_type const* right)
                     { return rank(left) < rank(right); });
    return ordered;
}

std::string own_service_of(state const& membership)
{
    return membership.self_record ? membership.self_record->service
                                  : std::string();
}

void refill_allowance(state& membership, instant now)
{
    std::chrono::duration<double> const passed =
        now - membership.gossip_refilled_at;
    membership.gossip_refilled_at = now;
    membership.gossip_allowance_bytes =
        std::min(gossip_burst_bytes,
                 membership.gossip_allowance_bytes +
                     passed.count() * gossip_bytes_per_second);
}

} // namespace

void queue_news(state& membership, member_record const& record)
{
    membership.news[record.node.address] = news_item{
        record,
        0,
        stable_hash(record.node.address,
                    stable_hash(membership.startup_options.self.address))};
    if (membership.news.size() <= max_queued_items)
    {
        return;
    }
    auto const most_spread = std::max_element(
        membership.news.begin(),
        membership.news.end(),
        [](auto const& left, auto const& right)
        { return left.second.transmissions < right.second.transmissions; });
    membership.news.erase(most_spread);
}

std::vector<member_record> heartbeat_news(state const& membership)
{
    std::vector<member_record> records;
    for (news_item const* item :
         order_items(membership.news, own_service_of(membership)))
    {
        if (records.size() == max_heartbeat_items)
        {
            break;
        }
        records.push_back(item->record);
    }
    return records;
}

bool learn(state& membership, member_record const& record, step& current)
{
    if (!merge_record(membership, record, current.now.monotonic))
    {
        return false;
    }
    queue_news(membership, record);
    return true;
}

void gossip_round(state& membership, step& current)
{
    refill_allowance(membership, current.now.monotonic);
    if (membership.news.empty())
    {
        return;
    }
    std::vector<std::string> const targets =
        draw_peers(membership, gossip_fanout, current);
    if (targets.empty())
    {
        return;
    }
    double const item_cost_bytes =
        estimated_record_bytes * static_cast<double>(targets.size());
    auto const affordable = static_cast<std::size_t>(
        std::max(0.0, membership.gossip_allowance_bytes / item_cost_bytes));
    std::size_t const limit = std::min(max_gossip_items, affordable);
    bool const has_backlog = membership.news.size() > max_gossip_items;
    std::uint32_t const transmission_limit =
        has_backlog ? max_transmissions_with_backlog : max_transmissions;
    gossip round;
    std::vector<std::string> finished;
    for (news_item* item :
         order_items(membership.news, own_service_of(membership)))
    {
        if (round.news.size() == limit)
        {
            break;
        }
        round.news.push_back(item->record);
        item->transmissions += static_cast<std::uint32_t>(targets.size());
        if (item->transmissions >= transmission_limit)
        {
            finished.push_back(item->record.node.address);
        }
    }
    if (round.news.empty())
    {
        return;
    }
    membership.gossip_allowance_bytes -=
        item_cost_bytes * static_cast<double>(round.news.size());
    for (std::string const& address : targets)
    {
        send(address, round, current);
    }
    for (std::string const& address : finished)
    {
        membership.news.erase(address);
    }
}

} // namespace plantaintally::membership
