#include "once/internal/vouch_book.hpp"

#include "once/internal/epoch_book.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

// Number of times that vouchers are asked within the lifetime of a vouch.
constexpr int rounds_per_lifetime = 3;
constexpr double round_jitter = 0.1;

std::set<node_id> vouchers_to_ask(cell_state const& cell)
{
    std::set<node_id> vouchers;
    for (epoch_progress const& known : cell.epochs)
    {
        bool const is_newest = &known == newest_epoch(cell);
        if (is_newest || !known.fenced_at)
        {
            vouchers.insert(known.content.vouchers.begin(),
                            known.content.vouchers.end());
        }
    }
    return vouchers;
}

void request_vouch_from(state& once,
                        cell_state& cell,
                        node_id const& voucher,
                        vouch_request const& request,
                        step& current)
{
    if (voucher == once.startup_options.self)
    {
        vouch_reply const reply = give_vouch(once, request, current.now);
        note_vouch(once, cell, voucher, reply, current);
        return;
    }
    current.out.push_back(send_control{voucher.address, message(request)});
}

} // namespace

vouch_reply
give_vouch(state& once, vouch_request const& request, moment const& now)
{
    auto const promised =
        once.promised_epochs.try_emplace(request.cell, 0).first;
    promised->second = std::max(promised->second, request.epoch);
    bool const is_starting_up =
        now.monotonic < once.started_at + once.startup_options.vouch_lifetime +
                            once.startup_options.drift_margin;
    vouch_reply reply;
    reply.cell = request.cell;
    reply.epoch = request.epoch;
    reply.asked_at = request.asked_at;
    reply.newest_epoch = promised->second;
    reply.is_vouched = !is_starting_up && request.epoch == promised->second;
    return reply;
}

void request_vouches(state& once, cell_state& cell, step& current)
{
    epoch_progress const* newest = newest_epoch(cell);
    if (newest == nullptr ||
        !is_member(newest->content, once.startup_options.self))
    {
        cell.vouch_round_at.reset();
        return;
    }
    vouch_request const request{
        cell.name, newest->content.number, current.now.monotonic};
    for (node_id const& voucher : vouchers_to_ask(cell))
    {
        request_vouch_from(once, cell, voucher, request, current);
    }
    duration const interval =
        once.startup_options.vouch_lifetime / rounds_per_lifetime;
    cell.vouch_round_at = current.now.monotonic +
                          draw_jittered(current.random, interval, round_jitter);
}

void note_vouch(state& once,
                cell_state& cell,
                node_id const& voucher,
                vouch_reply const& reply,
                step& current)
{
    note_advanced(cell, voucher, reply.newest_epoch, current.now);
    settle_epochs(once, cell, current);
    if (reply.newest_epoch > cell.highest_seen_epoch)
    {
        cell.highest_seen_epoch = reply.newest_epoch;
        cell.fetch_at = current.now.monotonic;
    }
    epoch_progress* vouched_epoch = find_epoch(cell, reply.epoch);
    bool const is_valid = reply.is_vouched && vouched_epoch != nullptr &&
                          reply.asked_at <= current.now.monotonic;
    if (!is_valid)
    {
        return;
    }
    std::vector<node_id> const& vouchers = vouched_epoch->content.vouchers;
    if (std::ranges::find(vouchers, voucher) == vouchers.end())
    {
        return;
    }
    instant& asked_at =
        vouched_epoch->vouches.try_emplace(voucher.address, reply.asked_at)
            .first->second;
    asked_at = std::max(asked_at, reply.asked_at);
}

bool is_vouched(state const& once,
                epoch_progress const& progress,
                moment const& now)
{
    auto const is_valid = [&](auto const& vouch)
    {
        return now.monotonic <
               vouch.second + once.startup_options.vouch_lifetime;
    };
    auto const valid = static_cast<std::size_t>(
        std::ranges::count_if(progress.vouches, is_valid));
    return valid >= majority_of(progress.content);
}

} // namespace plantaintally::once
