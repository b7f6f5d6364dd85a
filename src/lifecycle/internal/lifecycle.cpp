#include "lifecycle/lifecycle.hpp"

#include <algorithm>

namespace plantaintally::lifecycle
{

namespace
{

transition compare(bool was_open, state const& lifecycle)
{
    bool const is_open = takes_work(lifecycle);
    if (was_open == is_open)
    {
        return transition::none;
    }
    return is_open ? transition::opened : transition::drained;
}

} // namespace

bool takes_work(state const& lifecycle)
{
    return lifecycle.upstream && !lifecycle.is_drained_by_upstream &&
           !lifecycle.is_drained_by_operator && !lifecycle.is_stopping;
}

transition announce(state& lifecycle, upstream_announcement const& announced)
{
    bool const was_open = takes_work(lifecycle);
    lifecycle.upstream = announced;
    lifecycle.is_drained_by_upstream = false;
    return compare(was_open, lifecycle);
}

transition drain_by_upstream(state& lifecycle)
{
    bool const was_open = takes_work(lifecycle);
    lifecycle.is_drained_by_upstream = true;
    return compare(was_open, lifecycle);
}

transition set_drain_by_operator(state& lifecycle, bool is_drained)
{
    bool const was_open = takes_work(lifecycle);
    lifecycle.is_drained_by_operator = is_drained;
    return compare(was_open, lifecycle);
}

transition remove_upstream(state& lifecycle)
{
    bool const was_open = takes_work(lifecycle);
    lifecycle.upstream.reset();
    return compare(was_open, lifecycle);
}

transition stop(state& lifecycle, stop_times const& times, instant now)
{
    if (lifecycle.is_stopping)
    {
        return transition::none;
    }
    bool const was_open = takes_work(lifecycle);
    lifecycle.is_stopping = true;
    lifecycle.stop_deadline = now + times.limit;
    lifecycle.stop_earliest = now + std::min(times.linger, times.limit);
    return compare(was_open, lifecycle);
}

bool refuses_callers(state const& lifecycle, instant now)
{
    return lifecycle.is_stopping && now >= lifecycle.stop_earliest;
}

bool request_exit(state& lifecycle, pending_work const& left, instant now)
{
    if (!lifecycle.is_stopping || lifecycle.is_exit_asked)
    {
        return false;
    }
    bool const is_done = !left.has_exchanges && left.are_keys_handed_over &&
                         now >= lifecycle.stop_earliest;
    if (!is_done && now < lifecycle.stop_deadline)
    {
        return false;
    }
    lifecycle.is_exit_asked = true;
    return true;
}

std::optional<instant> next_deadline(state const& lifecycle, instant now)
{
    if (!lifecycle.is_stopping || lifecycle.is_exit_asked)
    {
        return std::nullopt;
    }
    return now < lifecycle.stop_earliest ? lifecycle.stop_earliest
                                         : lifecycle.stop_deadline;
}

} // namespace plantaintally::lifecycle
