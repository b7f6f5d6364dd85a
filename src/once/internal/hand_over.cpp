#include "once/internal/hand_over.hpp"

#include "once/internal/epoch_book.hpp"
#include "once/internal/key_table.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

// Keys in one message at most.
constexpr std::size_t keys_per_part = 2000;
constexpr duration transfer_interval = std::chrono::milliseconds(300);

bool has_left(state const& once, cell_state const& cell)
{
    epoch_progress const* newest = newest_epoch(cell);
    return newest != nullptr && !newest->content.members.empty() &&
           !is_member(newest->content, once.own.self);
}

// The last epoch that this node was a member of; null if there is none.
epoch_progress const* last_own_epoch(state const& once, cell_state const& cell)
{
    for (std::size_t i = cell.epochs.size(); i-- > 0;)
    {
        epoch_progress const& known = cell.epochs[i];
        if (is_member(known.content, once.own.self))
        {
            return &known;
        }
    }
    return nullptr;
}

std::vector<std::string>
keys_for(state const& once, cell_state const& cell, node_id const& receiver)
{
    std::vector<std::string> keys;
    epoch const& newest = newest_epoch(cell)->content;
    for (auto const& [key, kept] : once.keys)
    {
        if (kept.cell == cell.name && *home_of(newest, key) == receiver)
        {
            keys.push_back(key);
        }
    }
    return keys;
}

void queue_parts(state& once,
                 std::string const& address,
                 key_transfer const& head,
                 std::vector<std::string> const& keys)
{
    std::size_t const parts = std::max<std::size_t>(
        1, (keys.size() + keys_per_part - 1) / keys_per_part);
    for (std::size_t part = 0; part < parts; ++part)
    {
        key_transfer content = head;
        content.part = static_cast<std::uint32_t>(part);
        content.parts = static_cast<std::uint32_t>(parts);
        std::size_t const begin = part * keys_per_part;
        std::size_t const end = std::min(keys.size(), begin + keys_per_part);
        for (std::size_t i = begin; i < end; ++i)
        {
            content.keys.push_back(keys[i]);
        }
        once.unconfirmed.push_back({address, std::move(content)});
    }
}

void queue_cell(state& once, cell_state const& cell)
{
    epoch_progress const* last = last_own_epoch(once, cell);
    if (last == nullptr)
    {
        return;
    }
    key_transfer head;
    head.cell = cell.name;
    head.epoch = last->content.number;
    head.known_since =
        last->opened_at ? last->opened_at->wall : wall_time::max();
    for (node_id const& receiver : newest_epoch(cell)->content.members)
    {
        queue_parts(
            once, receiver.address, head, keys_for(once, cell, receiver));
    }
}

bool can_start(state const& once)
{
    auto const is_ready = [&once](auto const& named)
    {
        cell_state const& cell = named.second;
        return has_left(once, cell) || last_own_epoch(once, cell) == nullptr;
    };
    return once.running.empty() && std::ranges::all_of(once.cells, is_ready);
}

} // namespace

transfer_knowledge find_transfer(state const& once,
                                 transfer_source const& source,
                                 std::string_view key)
{
    for (auto const& [known, handed] : once.received)
    {
        bool const is_covering = known.cell == source.cell &&
                                 known.sender == source.sender &&
                                 known.epoch >= source.epoch &&
                                 handed.received.size() == handed.parts;
        if (!is_covering)
        {
            continue;
        }
        std::optional<wall_time> const minted = minted_at(key);
        bool const is_from_beginning = handed.known_since == wall_time::min();
        bool const is_younger =
            minted && handed.known_since != wall_time::max() &&
            *minted > handed.known_since + 2 * once.own.wall_clock_skew;
        return {true, is_from_beginning || is_younger};
    }
    return {};
}

void take_transfer(state& once,
                   node_id const& sender,
                   key_transfer const& part,
                   step& current)
{
    for (std::string const& key : part.keys)
    {
        record_received_key(once, part.cell, key, current);
    }
    received_transfer& handed = once.received[{part.cell, part.epoch, sender}];
    handed.parts = part.parts;
    handed.known_since = part.known_since;
    handed.received.insert(part.part);
    key_transfer_received const confirmed{part.cell, part.epoch, part.part};
    current.out.push_back(send_control{sender.address, message(confirmed)});
}

void confirm_transfer(state& once,
                      node_id const& sender,
                      key_transfer_received const& confirmed)
{
    auto const is_confirmed = [&](unconfirmed_transfer const& sent)
    {
        return sent.address == sender.address &&
               sent.content.cell == confirmed.cell &&
               sent.content.epoch == confirmed.epoch &&
               sent.content.part == confirmed.part;
    };
    std::erase_if(once.unconfirmed, is_confirmed);
}

void continue_transfer(state& once, step& current)
{
    if (!once.is_leaving)
    {
        return;
    }
    once.transfer_at = current.now.monotonic + transfer_interval;
    if (!once.is_transfer_started && can_start(once))
    {
        once.is_transfer_started = true;
        for (auto const& [name, cell] : once.cells)
        {
            queue_cell(once, cell);
        }
        record(current,
               {},
               "once",
               "hand-over-started",
               "keys=" + std::to_string(once.keys.size()));
    }
    for (unconfirmed_transfer const& sent : once.unconfirmed)
    {
        current.out.push_back(
            send_control{sent.address, message(sent.content)});
    }
    if (once.is_transfer_started && once.unconfirmed.empty())
    {
        once.transfer_at.reset();
    }
}

void hand_over(state& once, step& current)
{
    once.is_leaving = true;
    continue_transfer(once, current);
}

bool is_handed_over(state const& once)
{
    if (!once.running.empty())
    {
        return false;
    }
    auto const has_no_successor = [](auto const& named)
    {
        return named.second.wanted_members.empty();
    };
    if (once.keys.empty() || std::ranges::all_of(once.cells, has_no_successor))
    {
        return true;
    }
    return once.is_transfer_started && once.unconfirmed.empty();
}

} // namespace plantaintally::once
