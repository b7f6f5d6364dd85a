// The table of keys recorded at their home.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// Records an accepted key and the exchange that executes it. Part of step
// CLAIM_KEY of spec/once.pml.
void record_key(state& once,
                std::string cell,
                claim_request const& request,
                step& current);

// Records a key that another home has accepted; its answer is unknown here.
void record_transferred_key(state& once,
                            std::string cell,
                            std::string const& key,
                            step& current);

// The decision on a claim of a recorded key; none if the key is not recorded.
std::optional<claim_decision> claim_recorded_key(state const& once,
                                                 std::string_view key);

// The key's history according to this node's record.
key_history recorded_history(state const& once, std::string_view key);

// Removes expired keys and releases their retained answers.
void expire_keys(state& once, step& current);

} // namespace plantaintally::once
