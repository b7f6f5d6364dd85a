// A node's view of a cell's epochs: which are fenced, which are open, and since
// when the history of a key is known.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// The newest known epoch of the cell; nullptr if there is none.
epoch_progress* newest_epoch(cell_state& cell);
epoch_progress const* newest_epoch(cell_state const& cell);

// The epoch with this number; nullptr if it is unknown or already forgotten.
epoch_progress* find_epoch(cell_state& cell, std::uint64_t number);

// Whether the node, in this incarnation, is a member of the epoch.
bool is_member(epoch const& within, node_id const& node);

// Adopts a document that is newer than the known one; epochs that it no longer
// lists are fenced. Returns whether the document was newer and well formed.
// Step LEARN_EPOCH of spec/once.pml.
bool learn_epoch(state& once,
                 cell_state& cell,
                 std::uint64_t revision,
                 std::string_view text,
                 step& current);

// Notes that a voucher has advanced to epoch `newest`, so that it vouches for
// no lower one. A higher incarnation at a voucher's address proves that the
// voucher's process has ended. Step NOTE_ADVANCED of spec/once.pml.
void note_advanced(cell_state& cell,
                   node_id const& voucher,
                   std::uint64_t newest,
                   moment const& now);

// Updates which epochs are fenced and open. An epoch is fenced once the vouches
// given before a majority of its vouchers had advanced have expired; it is open
// once every earlier one is fenced. Forgets epochs that have been superseded
// for longer than keys are remembered. Step OPEN_EPOCH of spec/once.pml.
void settle_epochs(state& once, cell_state& cell, step& current);

// The next time at which settle_epochs can fence an epoch.
std::optional<instant> next_fence_time(state const& once,
                                       cell_state const& cell);

// How long a key is remembered after its execution has ended: the retry horizon
// plus a margin for the errors of the clocks.
duration key_retention(options const& startup_options);

// The start of the period for which this node knows a key's history.
struct history_start
{
    // The lowest epoch since which this node has been the key's home without
    // a break; zero if it was not the key's home in the last epoch searched.
    std::uint64_t epoch = 0;
    // When that epoch opened here; none if it has not.
    std::optional<moment> opened_at;
};

// Searches back from epoch `last_epoch` for the start of the unbroken series of
// epochs in which this node is the key's home.
history_start find_history_start(state const& once,
                                 cell_state const& cell,
                                 std::string_view key,
                                 std::uint64_t last_epoch);

// Whether the key must have been created after `since`, allowing for the errors
// of the clocks, so that no home of an earlier epoch can have accepted it.
bool is_created_after(state const& once,
                      std::string_view key,
                      moment const& since,
                      moment const& now);

} // namespace plantaintally::once
