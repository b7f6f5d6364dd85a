// The initial read: how a node that has just started finds the highest
// revision, in the platform's key-value store or, while that is down, from its
// peers.
#pragma once

#include "configuration/state.hpp"

#include <optional>
#include <span>
#include <string>

namespace plantaintally::configuration
{

// Schedules the initial read.
void start_initial_read(state& configuration, step& current);
// Sends the requests to peers and the store that are due, until this node is
// ready.
void advance_initial_read(state& configuration,
                          std::span<std::string const> peers,
                          step& current);
std::optional<instant> initial_read_deadline(state const& configuration);
// Handles the store's answer; makes this node ready unless the store is down
// or its document can't be decoded.
void handle_initial_read_result(state& configuration,
                                store_result const& result,
                                step& current);

} // namespace plantaintally::configuration
