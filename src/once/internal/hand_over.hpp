// Planned hand-over of a leaving home's keys to their homes in the next epoch.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// What a hand-over from a home that has left says about a key.
struct transfer_coverage
{
    // True if all parts of the hand-over were received. If the sender had
    // accepted the key, it is then recorded here.
    bool is_received = false;
    // True if the sender also knew the key's history in all earlier epochs.
    bool is_complete = false;
};

// Looks for a hand-over by the source's sender for this epoch or a later one.
transfer_coverage find_transfer(state const& once,
                                transfer_source const& source,
                                std::string_view key);

// At the receiver: records the keys of the part and acknowledges it.
void receive_transfer(state& once,
                      node_id const& sender,
                      key_transfer const& part,
                      step& current);

// At the sender: handles the acknowledgement of a part.
void handle_acknowledgement(state& once,
                            node_id const& sender,
                            key_transfer_received const& acknowledgement);

// At the sender: starts the hand-over once no execution is running and the
// newest epoch of every cell has other members instead of this node; then sends
// the unacknowledged parts until all are acknowledged.
void continue_transfer(state& once, step& current);

} // namespace plantaintally::once
