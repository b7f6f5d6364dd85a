#include "drivers/internal/wake_timer.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

// Longest wait at a time; a later time is waited for in parts. Also keeps the
// farthest instant from overflowing the steady clock's nanoseconds.
constexpr duration longest_wait = std::chrono::hours(1);

} // namespace

moment read_moment()
{
    auto const steady = std::chrono::steady_clock::now().time_since_epoch();
    auto const wall = std::chrono::system_clock::now().time_since_epoch();
    return {instant(std::chrono::duration_cast<duration>(steady)),
            wall_time(std::chrono::duration_cast<duration>(wall))};
}

wake_timer::wake_timer(task_scope& scope, std::function<void()> on_time)
    : tasks(scope), fire(std::move(on_time)), timer(scope.executor())
{
}

void wake_timer::set(instant when)
{
    auto const number = ++this->wait_number;
    auto const latest = read_moment().monotonic + longest_wait;
    auto const ends = std::min(when, latest);
    // The steady clock shares the origin of instants.
    this->timer.expires_at(
        std::chrono::steady_clock::time_point(ends.time_since_epoch()));
    this->timer.async_wait(
        [this, kept = this->tasks.hold(), number, when](error_code problem)
        {
            if (!problem)
            {
                this->handle(number, when);
            }
        });
}

void wake_timer::cancel()
{
    ++this->wait_number;
    this->timer.cancel();
}

void wake_timer::handle(std::uint64_t number, instant when)
{
    if (number != this->wait_number)
    {
        return;
    }
    if (read_moment().monotonic < when)
    {
        this->set(when);
        return;
    }
    this->fire();
}

} // namespace plantaintally::drivers
