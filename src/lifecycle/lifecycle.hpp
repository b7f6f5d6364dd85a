// The life cycle of a node and its upstream: announcement, drains and planned
// stop.
#pragma once

#include "base/moment.hpp"
#include "messages/request_types.hpp"

#include <optional>

namespace plantaintally::lifecycle
{

struct state
{
    std::optional<upstream_announcement> upstream;
    bool is_drained_by_upstream = false;
    bool is_drained_by_operator = false;
    bool is_stopping = false;
    // The stop completes at this time even if requests are still in flight.
    instant stop_deadline = instant::max();
    // The stop does not complete before this time. Until then the node keeps
    // serving callers.
    instant stop_earliest{};
    bool is_exit_requested = false;
};

// Whether a change of the state started or stopped the flow of new work to the
// upstream.
enum class transition
{
    none,
    // The upstream no longer accepts new work.
    drained,
    // The upstream accepts new work, for the first time or again.
    opened
};

// Returns true if there is an upstream that accepts new work, the node is not
// stopping and no drain is in effect.
bool takes_work(state const& lifecycle);

// Handles an announcement of the upstream. It ends a drain that the upstream
// requested, but not one that the operator requested. Repeating it has no
// effect.
transition announce(state& lifecycle,
                    upstream_announcement const& announcement);

transition drain_by_upstream(state& lifecycle);
transition set_drain_by_operator(state& lifecycle, bool is_drained);

// Handles the loss or exit of the upstream.
transition remove_upstream(state& lifecycle);

// How long a planned stop takes.
struct stop_times
{
    // The minimum, which applies even if nothing is in flight.
    duration linger{};
    // The maximum, which applies even if requests are in flight.
    duration limit{};
};

// Begins a planned stop. Has no effect if a stop has already begun.
transition stop(state& lifecycle, stop_times const& times, instant now);

// Returns true if a stopping node refuses new requests from callers, so that
// the requests in flight can complete before the stop does.
bool refuses_callers(state const& lifecycle, instant now);

// Work that a stopping node has yet to complete.
struct pending_work
{
    bool has_exchanges = false;
    bool are_keys_handed_over = false;
};

// Returns true exactly once, when the process should exit: no work is left
// after the minimum time, or the maximum time has passed.
bool request_exit(state& lifecycle, pending_work const& remaining, instant now);

// Returns the time at which request_exit has to be called again even if no
// event arrives.
std::optional<instant> next_wakeup(state const& lifecycle, instant now);

} // namespace plantaintally::lifecycle
