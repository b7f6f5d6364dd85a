// Relays: a few nodes of each availability zone, chosen by leases, poll the
// platform's service for changes that have not reached them otherwise. A relay
// whose lease has lapsed while it was paused does no harm by polling on:
// revisions only grow.
#pragma once

#include "configuration/state.hpp"

#include <optional>

namespace plantaintally::configuration
{

void start_relay(state& configuration, step& current);
void advance_relay(state& configuration, step& current);
std::optional<instant> relay_deadline(state const& configuration);

// The result of a call for the relay's slot or lease.
void take_relay_result(state& configuration,
                       store_purpose purpose,
                       store_result const& result,
                       step& current);

// The result of a poll for a higher revision.
void take_poll_result(state& configuration,
                      store_result const& result,
                      step& current);

} // namespace plantaintally::configuration
