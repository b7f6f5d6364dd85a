#include "once/internal/vouch_book.hpp"

#include "once/internal/epoch_book.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

// Rounds of asking within the lifetime of a vouch.
constexpr int rounds_per_lifetime = 3;
constexpr double round_jitter = 0.1;

std::set<node_id> vouchers_to_ask(cell_state const& cell)
{
    std::set<node_id> asked;
    for (epoch_progress const& known : cell.epochs)
    {
        bool const is_newest = &known == newest_epoch(cell);
        if (is_newest || !known.fenced_at)
        {
            asked.insert(known.content.vouchers.begin(),
                         known.content.vouchers.end());
        }
    }
    return asked;
}

void ask_one(state& once,
             cell_state& cell,
             node_id const& voucher,
             vouch_request const& question,
             step& current)
{
    if (voucher == once.own.self)
    {
        vouch_reply const reply = give_vouch(once, question, current.now);
        note_vouch(once, cell, voucher, reply, current);
        return;
    }
    current.out.push_back(send_control{voucher.address, message(question)});
}

} // namespace

vouch_reply
give_vouch(state& once, vouch_request const& asked, moment const& now)
{
    auto const known = once.vouched_epochs.try_emplace(asked.cell, 0).first;
    known->second = std::max(known->second, asked.epoch);
    bool const is_silent = now.monotonic < once.started_at +
                                               once.own.vouch_lifetime +
                                               once.own.drift_margin;
    vouch_reply reply;
    reply.cell = asked.cell;
    reply.epoch = asked.epoch;
    reply.asked_at = asked.asked_at;
    reply.newest_epoch = known->second;
    reply.is_vouched = !is_silent && asked.epoch == known->second;
    return reply;
}

void ask_vouches(state& once, cell_state& cell, step& current)
{
    epoch_progress const* newest = newest_epoch(cell);
    if (newest == nullptr || !is_member(newest->content, once.own.self))
    {
        cell.vouch_round_at.reset();
        return;
    }
    vouch_request const question{
        cell.name, newest->content.number, current.now.monotonic};
    for (node_id const& voucher : vouchers_to_ask(cell))
    {
        ask_one(once, cell, voucher, question, current);
    }
    duration const interval = once.own.vouch_lifetime / rounds_per_lifetime;
    cell.vouch_round_at = current.now.monotonic +
                          draw_jittered(current.random, interval, round_jitter);
}

void note_vouch(state& once,
                cell_state& cell,
                node_id const& voucher,
                vouch_reply const& reply,
                step& current)
{
    note_moved(cell, voucher, reply.newest_epoch, current.now);
    settle_epochs(once, cell, current);
    if (reply.newest_epoch > cell.heard_epoch)
    {
        cell.heard_epoch = reply.newest_epoch;
        cell.fetch_at = current.now.monotonic;
    }
    epoch_progress* epoch_asked = find_epoch(cell, reply.epoch);
    bool const is_valid = reply.is_vouched && epoch_asked != nullptr &&
                          reply.asked_at <= current.now.monotonic;
    if (!is_valid)
    {
        return;
    }
    std::vector<node_id> const& vouchers = epoch_asked->content.vouchers;
    if (std::ranges::find(vouchers, voucher) == vouchers.end())
    {
        return;
    }
    instant& asked_at =
        epoch_asked->vouches.try_emplace(voucher.address, reply.asked_at)
            .first->second;
    asked_at = std::max(asked_at, reply.asked_at);
}

bool is_vouched(state const& once,
                epoch_progress const& checked,
                moment const& now)
{
    auto const is_valid = [&](auto const& vouch)
    {
        return now.monotonic < vouch.second + once.own.vouch_lifetime;
    };
    auto const valid = static_cast<std::size_t>(
        std::ranges::count_if(checked.vouches, is_valid));
    return valid >= majority_of(checked.content);
}

} // namespace plantaintally::once
