// Proposes new epochs through the platform's store and finds newer documents.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// Epochs that one document lists at most; beyond it none is proposed until
// earlier ones are fenced.
inline constexpr std::size_t max_listed_epochs = 16;

// The cell's members and vouchers shall be these; plans a proposal if the
// newest epoch differs.
void want_epoch(state& once,
                cell_state& cell,
                std::vector<node_id> members,
                std::vector<node_id> vouchers,
                step& current);

// Plans a proposal, or none if the newest epoch is the one wanted. To be called
// whenever the node has learnt of an epoch.
void plan_proposal(state const& once, cell_state& cell, step& current);

// The members that a cell of this name should have, in order of address.
std::vector<node_id>
choose_members(std::span<membership::member_record const> members,
               std::string_view cell);

// The vouchers that the cell should have: the present ones that live, filled
// up with others, evenly over the availability zones.
std::vector<node_id>
choose_vouchers(std::span<membership::member_record const> members,
                std::span<membership::member_record const> fleet,
                cell_state const& cell);

// Model steps propose and read_store: what is due of them now.
void continue_proposal(state& once, cell_state& cell, step& current);

// The result of the cell's call on the store.
void note_store_result(state& once,
                       cell_state& cell,
                       store_result const& result,
                       step& current);

} // namespace plantaintally::once
