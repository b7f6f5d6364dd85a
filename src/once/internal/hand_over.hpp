// Planned hand-over of a leaving home's keys to the homes of the next epoch.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// What a home that has left told of a key.
struct transfer_knowledge
{
    // True if the whole hand-over was received. The key is then in the record
    // if the sender had accepted it.
    bool is_received = false;
    // True if the sender also knew every epoch before its own.
    bool is_complete = false;
};

// Knowledge from a hand-over that covers the source's epoch.
transfer_knowledge find_transfer(state const& once,
                                 transfer_source const& source,
                                 std::string_view key);

// At the receiver: records the part's keys and confirms it.
void take_transfer(state& once,
                   node_id const& sender,
                   key_transfer const& part,
                   step& current);

// At the sender: the part needs no repetition.
void confirm_transfer(state& once,
                      node_id const& sender,
                      key_transfer_received const& confirmed);

// At the sender: starts once nothing runs and the newest epoch has other homes,
// and repeats what is not confirmed.
void continue_transfer(state& once, step& current);

} // namespace plantaintally::once
