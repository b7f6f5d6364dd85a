// Vouches: asked for by homes, given by vouchers, and counted.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// Model step vouch, at a voucher: vouches unless it has moved to a newer epoch
// or was started too short a time ago. From then on it vouches for no lower
// epoch.
vouch_reply
give_vouch(state& once, vouch_request const& asked, moment const& now);

// Model step ask_vouch, at a home: asks the vouchers of the newest epoch, and
// those of earlier epochs so that they move. Does nothing at a node that is
// not a member of the newest epoch.
void ask_vouches(state& once, cell_state& cell, step& current);

// Model step note_vouch, at a home: counts the reply.
void note_vouch(state& once,
                cell_state& cell,
                node_id const& voucher,
                vouch_reply const& reply,
                step& current);

// True if a majority of the epoch's vouchers has vouched within the lifetime.
bool is_vouched(state const& once,
                epoch_progress const& checked,
                moment const& now);

} // namespace plantaintally::once
