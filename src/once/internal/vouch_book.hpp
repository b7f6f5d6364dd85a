// Vouches: requested by homes, given by vouchers, and counted by homes.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// At a voucher: vouches, unless this node has advanced to a newer epoch or has
// been running for less than the lifetime of a vouch and the drift margin. From
// then on it vouches for no lower epoch. Step GIVE_VOUCH of spec/once.pml.
vouch_reply
give_vouch(state& once, vouch_request const& request, moment const& now);

// At a home: asks the vouchers of the newest epoch, and those of earlier epochs
// that are not fenced so that they advance. Only members of the newest epoch
// ask; another node stops asking.
void request_vouches(state& once, cell_state& cell, step& current);

// At a home: records the vouch, or that the voucher has advanced.
void note_vouch(state& once,
                cell_state& cell,
                node_id const& voucher,
                vouch_reply const& reply,
                step& current);

// Whether valid vouches of a majority of the epoch's vouchers are held.
bool is_vouched(state const& once,
                epoch_progress const& progress,
                moment const& now);

} // namespace plantaintally::once
