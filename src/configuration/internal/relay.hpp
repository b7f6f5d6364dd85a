// Relays: in each availability zone a few nodes that hold a slot under a lease
// poll the platform's key-value store for changes that gossip has missed. A
// relay that was paused until its lease expired may poll on without harm,
// because revisions only increase.
#pragma once

#include "configuration/state.hpp"

#include <optional>

namespace plantaintally::configuration
{

// Schedules this node's first attempt to become a relay.
void start_relay(state& configuration, step& current);
// Tries to become a relay, or as a relay renews the lease and polls, if due.
void advance_relay(state& configuration, step& current);
std::optional<instant> relay_deadline(state const& configuration);

// Handles the result of a call on the relay's slot or lease.
void handle_relay_result(state& configuration,
                         store_purpose purpose,
                         store_result const& result,
                         step& current);

// Handles the result of a poll for a higher revision.
void handle_poll_result(state& configuration,
                        store_result const& result,
                        step& current);

} // namespace plantaintally::configuration
