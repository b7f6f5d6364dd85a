#include "once/internal/epoch_book.hpp"

#include "once/internal/epoch_json.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

// The first epoch of a cell has no history before it, so it counts as open
// since `beginning`.
constexpr std::uint64_t first_epoch = 1;
constexpr moment beginning{instant::min(), wall_time::min()};

bool is_listed(std::vector<node_id> const& nodes, node_id const& wanted)
{
    return std::ranges::find(nodes, wanted) != nodes.end();
}

void fence(epoch_progress& progress, step& current)
{
    if (!progress.fenced_at)
    {
        progress.fenced_at = current.now;
    }
}

// Forgets the known epochs if the document doesn't continue them: the homes in
// the gap are unknown, so earlier epochs don't help to establish a key's
// history.
void forget_before_gap(cell_state& cell, epoch_document const& document)
{
    std::uint64_t const lowest = document.epochs.front().number;
    if (!cell.epochs.empty() && cell.epochs.back().content.number + 1 < lowest)
    {
        cell.epochs.clear();
    }
}

void append_epochs(cell_state& cell, epoch_document const& document)
{
    for (epoch const& listed : document.epochs)
    {
        bool const is_known =
            !cell.epochs.empty() &&
            listed.number <= cell.epochs.back().content.number;
        if (!is_known)
        {
            epoch_progress added;
            added.content = listed;
            cell.epochs.push_back(std::move(added));
        }
    }
}

void merge_document(cell_state& cell,
                    epoch_document const& document,
                    step& current)
{
    forget_before_gap(cell, document);
    append_epochs(cell, document);
    for (epoch_progress& known : cell.epochs)
    {
        if (known.content.number < document.epochs.front().number)
        {
            fence(known, current);
        }
    }
    std::uint64_t const newest = cell.epochs.back().content.number;
    if (newest >= cell.highest_seen_epoch)
    {
        cell.highest_seen_epoch = newest;
        cell.fetch_at.reset();
        cell.peer_fetch_count = 0;
    }
    cell.vouch_round_at = current.now.monotonic;
}

bool is_fence_due(state const& once,
                  epoch_progress const& progress,
                  moment const& now)
{
    if (progress.fenced_at || !progress.majority_advanced_at)
    {
        return false;
    }
    return now.monotonic >= *progress.majority_advanced_at +
                                once.startup_options.vouch_lifetime +
                                once.startup_options.drift_margin;
}

void open_epochs(state const& once, cell_state& cell, step& current)
{
    bool is_earlier_fenced = true;
    for (epoch_progress& progress : cell.epochs)
    {
        if (is_earlier_fenced && !progress.opened_at)
        {
            bool const is_first = progress.content.number == first_epoch;
            progress.opened_at = is_first ? beginning : current.now;
            record(current,
                   {},
                   "once",
                   "epoch-opened",
                   "cell=" + cell.name +
                       " epoch=" + std::to_string(progress.content.number) +
                       " node=" + once.startup_options.self.address);
        }
        is_earlier_fenced = is_earlier_fenced && progress.fenced_at.has_value();
    }
}

void forget_old_epochs(state const& once, cell_state& cell, moment const& now)
{
    while (cell.epochs.size() > 1)
    {
        epoch_progress const& next = cell.epochs[1];
        bool const is_old =
            next.opened_at &&
            next.opened_at->monotonic + key_retention(once.startup_options) <
                now.monotonic;
        if (!is_old)
        {
            return;
        }
        cell.epochs.erase(cell.epochs.begin());
    }
}

} // namespace

epoch_progress* newest_epoch(cell_state& cell)
{
    return cell.epochs.empty() ? nullptr : &cell.epochs.back();
}

epoch_progress const* newest_epoch(cell_state const& cell)
{
    return cell.epochs.empty() ? nullptr : &cell.epochs.back();
}

epoch_progress* find_epoch(cell_state& cell, std::uint64_t number)
{
    auto const has_number = [number](epoch_progress const& known)
    {
        return known.content.number == number;
    };
    auto const found = std::ranges::find_if(cell.epochs, has_number);
    return found == cell.epochs.end() ? nullptr : &*found;
}

bool is_member(epoch const& within, node_id const& node)
{
    return is_listed(within.members, node);
}

bool learn_epoch(state& once,
                 cell_state& cell,
                 std::uint64_t revision,
                 std::string_view text,
                 step& current)
{
    if (revision <= cell.revision)
    {
        return false;
    }
    result<epoch_document> const read = decode_epochs(text);
    if (!read)
    {
        record(current, {}, "once", "epoch-malformed", "cell=" + cell.name);
        return false;
    }
    cell.revision = revision;
    cell.document = text;
    merge_document(cell, read.value(), current);
    record(current,
           {},
           "once",
           "epoch-learned",
           "cell=" + cell.name +
               " epoch=" + std::to_string(cell.epochs.back().content.number) +
               " revision=" + std::to_string(revision));
    settle_epochs(once, cell, current);
    return true;
}

void note_advanced(cell_state& cell,
                   node_id const& voucher,
                   std::uint64_t newest,
                   moment const& now)
{
    for (epoch_progress& known : cell.epochs)
    {
        for (node_id const& listed : known.content.vouchers)
        {
            bool const has_advanced =
                listed == voucher && newest > known.content.number;
            bool const has_ended = listed.address == voucher.address &&
                                   listed.incarnation < voucher.incarnation;
            if (has_advanced || has_ended)
            {
                known.advanced_vouchers.insert(listed.address);
            }
        }
        if (!known.majority_advanced_at &&
            known.advanced_vouchers.size() >= majority_of(known.content))
        {
            known.majority_advanced_at = now.monotonic;
        }
    }
}

void settle_epochs(state& once, cell_state& cell, step& current)
{
    for (epoch_progress& known : cell.epochs)
    {
        if (is_fence_due(once, known, current.now))
        {
            fence(known, current);
        }
    }
    open_epochs(once, cell, current);
    forget_old_epochs(once, cell, current.now);
}

std::optional<instant> next_fence_time(state const& once,
                                       cell_state const& cell)
{
    std::optional<instant> earliest;
    for (epoch_progress const& known : cell.epochs)
    {
        if (known.fenced_at || !known.majority_advanced_at)
        {
            continue;
        }
        instant const due = *known.majority_advanced_at +
                            once.startup_options.vouch_lifetime +
                            once.startup_options.drift_margin;
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

duration key_retention(options const& startup_options)
{
    return startup_options.retry_horizon + 2 * startup_options.wall_clock_skew +
           startup_options.drift_margin;
}

history_start find_history_start(state const& once,
                                 cell_state const& cell,
                                 std::string_view key,
                                 std::uint64_t last_epoch)
{
    history_start found;
    for (std::size_t i = cell.epochs.size(); i-- > 0;)
    {
        epoch_progress const& known = cell.epochs[i];
        if (known.content.number > last_epoch)
        {
            continue;
        }
        node_id const* home = home_of(known.content, key);
        if (home == nullptr || *home != once.startup_options.self)
        {
            break;
        }
        found = {known.content.number, known.opened_at};
    }
    return found;
}

bool is_created_after(state const& once,
                      std::string_view key,
                      moment const& since,
                      moment const& now)
{
    if (since == beginning)
    {
        return true;
    }
    bool const is_guard_window_over =
        now.monotonic > since.monotonic + key_retention(once.startup_options);
    std::optional<wall_time> const created_at = creation_time(key);
    if (is_guard_window_over || !created_at)
    {
        return is_guard_window_over;
    }
    return *created_at > since.wall + 2 * once.startup_options.wall_clock_skew;
}

} // namespace plantaintally::once
