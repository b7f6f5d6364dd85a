// What a node knows of a cell's epochs: which are fenced, which are open, and
// since when the history of a key is known.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// The newest epoch known of the cell; null if none is.
epoch_progress* newest_epoch(cell_state& cell);
epoch_progress const* newest_epoch(cell_state const& cell);

// The epoch of that number; null if it isn't known any more, or not yet.
epoch_progress* find_epoch(cell_state& cell, std::uint64_t number);

// True if the node, in this incarnation, is a member of the epoch.
bool is_member(epoch const& within, node_id const& node);

// Model step learn_epoch: takes over a document that is newer than the known
// one. Epochs that it does not list any more are fenced. Returns true if the
// document was newer and well formed.
bool learn_epoch(state& once,
                 cell_state& cell,
                 std::uint64_t revision,
                 std::string_view text,
                 step& current);

// Model step note_moved: a voucher tells that it has moved to `newest`, so it
// vouches for no lower epoch. A higher incarnation at a voucher's address
// proves that the voucher's process has ended.
void note_moved(cell_state& cell,
                node_id const& voucher,
                std::uint64_t newest,
                moment const& now);

// Model steps fence and open: an epoch is fenced once the vouches given before
// a majority had moved have run out; an epoch is open once every earlier one
// is fenced. Forgets epochs whose keys have all passed the retry horizon.
void settle_epochs(state& once, cell_state& cell, step& current);

// When settle_epochs has something to do.
std::optional<instant> next_fence(state const& once, cell_state const& cell);

// Time for which a key is remembered after its execution has ended.
duration key_lifetime(options const& own);

// What this node knows of a key's history if it was the key's home in `within`.
struct history_start
{
    // The lowest epoch since which this node has been the key's home without
    // a break.
    std::uint64_t epoch = 0;
    // When that epoch was open here; none if it is not.
    std::optional<moment> opened_at;
};

history_start find_history_start(state const& once,
                                 cell_state const& cell,
                                 std::string_view key,
                                 std::uint64_t within);

// True if the key must have been minted after `since`, so that no home of an
// earlier epoch can have accepted it.
bool is_minted_after(state const& once,
                     std::string_view key,
                     moment const& since,
                     moment const& now);

} // namespace plantaintally::once
