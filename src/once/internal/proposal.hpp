// Proposes new epochs through the platform's key-value store and looks for
// newer epoch documents.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// Maximum number of epochs in a document; no more are proposed until earlier
// ones are retired.
inline constexpr std::size_t max_listed_epochs = 16;

// Sets the members and vouchers that the cell should have; plans a proposal if
// the newest epoch has others.
void set_desired_nodes(state& once,
                       cell_state& cell,
                       std::vector<node_id> members,
                       std::vector<node_id> vouchers,
                       step& current);

// Schedules a proposal, or cancels it if the newest epoch needs no change or
// this node may not propose. Call it whenever the node may have learned of an
// epoch.
void plan_proposal(state const& once, cell_state& cell, step& current);

// The members that a cell of this name should have, ordered by address.
std::vector<node_id>
choose_members(std::span<membership::member_record const> members,
               std::string_view cell);

// The vouchers that the cell should have: those of the newest epoch that are
// live, filled up with others spread evenly over the availability zones.
std::vector<node_id>
choose_vouchers(std::span<membership::member_record const> members,
                std::span<membership::member_record const> fleet,
                cell_state const& cell);

// Proposes an epoch, reads the store or asks a peer for its document, whichever
// is due. Includes step PROPOSE of spec/once.pml.
void continue_proposal(state& once, cell_state& cell, step& current);

// Handles the result of the cell's pending call to the store.
void handle_store_result(state& once,
                         cell_state& cell,
                         store_result const& result,
                         step& current);

} // namespace plantaintally::once
