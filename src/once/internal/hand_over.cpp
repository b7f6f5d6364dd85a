#include "once/internal/hand_over.hpp"

#include "once/internal/epoch_book.hpp"
#include "once/internal/key_table.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

// Maximum number of keys in one message.
constexpr std::size_t keys_per_part = 2000;
// Interval at which unacknowledged parts are sent again.
constexpr duration transfer_interval = std::chrono::milliseconds(300);

// Whether the newest epoch has members, but not this node.
bool has_left(state const& once, cell_state const& cell)
{
    epoch_progress const* newest = newest_epoch(cell);
    return newest != nullptr && !newest->content.members.empty() &&
           !is_member(newest->content, once.startup_options.self);
}

// The last epoch of which this node was a member; nullptr if there is none.
epoch_progress const* last_member_epoch(state const& once,
                                        cell_state const& cell)
{
    for (std::size_t i = cell.epochs.size(); i-- > 0;)
    {
        epoch_progress const& known = cell.epochs[i];
        if (is_member(known.content, once.startup_options.self))
        {
            return &known;
        }
    }
    return nullptr;
}

std::vector<std::string> keys_with_home(state const& once,
                                        cell_state const& cell,
                                        node_id const& receiver)
{
    std::vector<std::string> keys;
    epoch const& newest = newest_epoch(cell)->content;
    for (auto const& [key, recorded] : once.keys)
    {
        if (recorded.cell == cell.name && *home_of(newest, key) == receiver)
        {
            keys.push_back(key);
        }
    }
    return keys;
}

void queue_parts(state& once,
                 std::string const& address,
                 key_transfer const& header,
                 std::vector<std::string> const& keys)
{
    std::size_t const parts = std::max<std::size_t>(
        1, (keys.size() + keys_per_part - 1) / keys_per_part);
    for (std::size_t part = 0; part < parts; ++part)
    {
        key_transfer content = header;
        content.part = static_cast<std::uint32_t>(part);
        content.parts = static_cast<std::uint32_t>(parts);
        std::size_t const begin = part * keys_per_part;
        std::size_t const end = std::min(keys.size(), begin + keys_per_part);
        for (std::size_t i = begin; i < end; ++i)
        {
            content.keys.push_back(keys[i]);
        }
        once.unacknowledged_parts.push_back({address, std::move(content)});
    }
}

void queue_cell_transfer(state& once, cell_state const& cell)
{
    epoch_progress const* last = last_member_epoch(once, cell);
    if (last == nullptr)
    {
        return;
    }
    key_transfer header;
    header.cell = cell.name;
    header.epoch = last->content.number;
    header.known_since =
        last->opened_at ? last->opened_at->wall : wall_time::max();
    for (node_id const& receiver : newest_epoch(cell)->content.members)
    {
        queue_parts(once,
                    receiver.address,
                    header,
                    keys_with_home(once, cell, receiver));
    }
}

bool can_start_transfer(state const& once)
{
    auto const is_ready = [&once](auto const& named)
    {
        cell_state const& cell = named.second;
        return has_left(once, cell) || last_member_epoch(once, cell) == nullptr;
    };
    return once.running_keys.empty() &&
           std::ranges::all_of(once.cells, is_ready);
}

} // namespace

transfer_coverage find_transfer(state const& once,
                                transfer_source const& source,
                                std::string_view key)
{
    for (auto const& [known, transfer] : once.received_transfers)
    {
        bool const is_match = known.cell == source.cell &&
                              known.sender == source.sender &&
                              known.epoch >= source.epoch &&
                              transfer.received_parts.size() == transfer.parts;
        if (!is_match)
        {
            continue;
        }
        std::optional<wall_time> const created_at = creation_time(key);
        bool const covers_all_time = transfer.known_since == wall_time::min();
        bool const is_created_later =
            created_at && transfer.known_since != wall_time::max() &&
            *created_at >
                transfer.known_since + 2 * once.startup_options.wall_clock_skew;
        return {true, covers_all_time || is_created_later};
    }
    return {};
}

void receive_transfer(state& once,
                      node_id const& sender,
                      key_transfer const& part,
                      step& current)
{
    for (std::string const& key : part.keys)
    {
        record_transferred_key(once, part.cell, key, current);
    }
    received_transfer& transfer =
        once.received_transfers[{part.cell, part.epoch, sender}];
    transfer.parts = part.parts;
    transfer.known_since = part.known_since;
    transfer.received_parts.insert(part.part);
    key_transfer_received const acknowledgement{
        part.cell, part.epoch, part.part};
    current.out.push_back(
        send_control{sender.address, message(acknowledgement)});
}

void handle_acknowledgement(state& once,
                            node_id const& sender,
                            key_transfer_received const& acknowledgement)
{
    auto const is_acknowledged = [&](unacknowledged_part const& sent)
    {
        return sent.address == sender.address &&
               sent.content.cell == acknowledgement.cell &&
               sent.content.epoch == acknowledgement.epoch &&
               sent.content.part == acknowledgement.part;
    };
    std::erase_if(once.unacknowledged_parts, is_acknowledged);
}

void continue_transfer(state& once, step& current)
{
    if (!once.is_leaving)
    {
        return;
    }
    once.next_transfer_at = current.now.monotonic + transfer_interval;
    if (!once.is_transfer_started && can_start_transfer(once))
    {
        once.is_transfer_started = true;
        for (auto const& [name, cell] : once.cells)
        {
            queue_cell_transfer(once, cell);
        }
        record(current,
               {},
               "once",
               "hand-over-started",
               "keys=" + std::to_string(once.keys.size()));
    }
    for (unacknowledged_part const& sent : once.unacknowledged_parts)
    {
        current.out.push_back(
            send_control{sent.address, message(sent.content)});
    }
    if (once.is_transfer_started && once.unacknowledged_parts.empty())
    {
        once.next_transfer_at.reset();
    }
}

void hand_over(state& once, step& current)
{
    once.is_leaving = true;
    continue_transfer(once, current);
}

bool is_handed_over(state const& once)
{
    if (!once.running_keys.empty())
    {
        return false;
    }
    auto const has_no_successor = [](auto const& named)
    {
        return named.second.desired_members.empty();
    };
    if (once.keys.empty() || std::ranges::all_of(once.cells, has_no_successor))
    {
        return true;
    }
    return once.is_transfer_started && once.unacknowledged_parts.empty();
}

} // namespace plantaintally::once
