// The record of keys at their home.
#pragma once

#include "once/once.hpp"

namespace plantaintally::once
{

// Model step record_key: the key is accepted and this exchange runs it.
void record_key(state& once,
                std::string cell,
                claim_request const& request,
                step& current);

// Keeps a key that another home has accepted; its answer is not known here.
void record_received_key(state& once,
                         std::string cell,
                         std::string const& key,
                         step& current);

// What a recorded key's claim comes to; none if there is no record.
std::optional<claim_decision> claim_recorded(state const& once,
                                             std::string_view key);

// What this node's record says about the key.
key_history recorded_history(state const& once, std::string_view key);

// Forgets the keys whose lifetime is over and releases their answers.
void expire_keys(state& once, step& current);

} // namespace plantaintally::once
