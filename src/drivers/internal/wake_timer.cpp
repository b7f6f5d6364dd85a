#include "drivers/internal/wake_timer.hpp"

#include <chrono>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

// The steady clock's reading for an instant; the two share their origin.
std::chrono::steady_clock::time_point to_steady(instant when)
{
    return std::chrono::steady_clock::time_point(when.time_since_epoch());
}

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
    this->timer.expires_at(to_steady(when));
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
