// From the start of a node over drains to its planned stop.
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
    // The stop ends at this time even if requests are still in flight.
    instant stop_deadline = instant::max();
    // The stop does not end before this time.
    instant stop_earliest{};
    bool is_exit_asked = false;
};

// What a change of the life cycle means for the other parts.
enum class transition
{
    none,
    // The upstream was taking work and takes no more.
    drained,
    // The upstream takes work again, or for the first time.
    opened
};

// True if the upstream beside this node takes new work.
bool takes_work(state const& lifecycle);

// The upstream has announced itself; repeated announcements change nothing,
// one after a drain by the upstream ends the drain.
transition announce(state& lifecycle, upstream_announcement const& announced);

transition drain_by_upstream(state& lifecycle);
transition set_drain_by_operator(state& lifecycle, bool is_drained);

// The upstream has stopped.
transition remove_upstream(state& lifecycle);

// How long a planned stop goes on serving.
struct stop_times
{
    // At least, also if nothing is in flight.
    duration linger{};
    // At most, even if requests are in flight.
    duration limit{};
};

// A planned stop; a second request changes nothing.
transition stop(state& lifecycle, stop_times const& times, instant now);

// True once a stopping node takes no more requests of callers: those that it
// has are to end before the stop does.
bool refuses_callers(state const& lifecycle, instant now);

// What a stopping node still has to do.
struct pending_work
{
    bool has_exchanges = false;
    bool are_keys_handed_over = false;
};

// True once, when the process is to end.
bool request_exit(state& lifecycle, pending_work const& left, instant now);

// When request_exit may have another answer although nothing happens.
std::optional<instant> next_deadline(state const& lifecycle, instant now);

} // namespace plantaintally::lifecycle
