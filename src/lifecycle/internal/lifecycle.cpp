#include "lifecycle/lifecycle.hpp"

#include <algorithm>

namespace plantaintally::lifecycle
{

namespace
{

transition transition_from(bool was_taking_work, state const& lifecycle)
{
    bool const is_taking_work = takes_work(lifecycle);
    if (was_taking_work == is_taking_work)
    {
        return transition::none;
    }
    return is_taking_work ? transition::opened : transition::drained;
}

} // namespace

bool takes_work(state const& lifecycle)
{
    return lifecycle.upstream && !lifecycle.is_drained_by_upstream &&
           !lifecycle.is_drained_by_operator && !lifecycle.is_stopping;
}

transition announce(state& lifecycle, upstream_announcement const& announcement)
{
    bool const was_taking_work = takes_work(lifecycle);
    lifecycle.upstream = announcement;
    lifecycle.is_drained_by_upstream = false;
    return transition_from(was_taking_work, lifecycle);
}

transition drain_by_upstream(state& lifecycle)
{
    bool const was_taking_work = takes_work(lifecycle);
    lifecycle.is_drained_by_upstream = true;
    return transition_from(was_taking_work, lifecycle);
}

transition set_drain_by_operator(state& lifecycle, bool is_drained)
{
    bool const was_taking_work = takes_work(lifecycle);
    lifecycle.is_drained_by_operator = is_drained;
    return transition_from(was_taking_work, lifecycle);
}

transition remove_upstream(state& lifecycle)
{
    bool const was_taking_work = takes_work(lifecycle);
    lifecycle.upstream.reset();
    return transition_from(was_taking_work, lifecycle);
}

transition stop(state& lifecycle, stop_times const& times, instant now)
{
    if (lifecycle.is_stopping)
    {
        return transition::none;
    }
    bool const was_taking_work = takes_work(lifecycle);
    lifecycle.is_stopping = true;
    lifecycle.stop_deadline = now + times.limit;
    lifecycle.stop_earliest = now + std::min(times.linger, times.limit);
    return transition_from(was_taking_work, lifecycle);
}

bool refuses_callers(state const& lifecycle, instant now)
{
    return lifecycle.is_stopping && now >= lifecycle.stop_earliest;
}

bool request_exit(state& lifecycle, pending_work const& remaining, instant now)
{
    if (!lifecycle.is_stopping || lifecycle.is_exit_requested)
    {
        return false;
    }
    bool const is_finished = !remaining.has_exchanges &&
                             remaining.are_keys_handed_over &&
                             now >= lifecycle.stop_earliest;
    if (!is_finished && now < lifecycle.stop_deadline)
    {
        return false;
    }
    lifecycle.is_exit_requested = true;
    return true;
}

std::optional<instant> next_wakeup(state const& lifecycle, instant now)
{
    if (!lifecycle.is_stopping || lifecycle.is_exit_requested)
    {
        return std::nullopt;
    }
    return now < lifecycle.stop_earliest ? lifecycle.stop_earliest
                                         : lifecycle.stop_deadline;
}

} // namespace plantaintally::lifecycle
