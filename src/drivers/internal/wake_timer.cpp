#include "drivers/internal/wake_timer.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

// Longest wait at a time; a later time is waited for in parts. Also keeps the
// farthest instant from overflowing the steady clock's nanoseconds.
constexpr duration longest_wait = std::chrono::hours(1);

// Goes on while the machine is suspended, unlike the steady clock: a vouch or a
// lease must not outlast a suspension. The call can't fail on Linux.
duration read_boot_time()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    auto const whole = std::chrono::seconds(time.tv_sec) +
                       std::chrono::nanoseconds(time.tv_nsec);
    return std::chrono::duration_cast<duration>(whole);
}

} // namespace

moment read_moment()
{
    auto const wall = std::chrono::system_clock::now().time_since_epoch();
    return {instant(read_boot_time()),
            wall_time(std::chrono::duration_cast<duration>(wall))};
}

wake_timer::wake_timer(task_scope& scope, std::function<void()> on_time)
    : tasks(scope), fire(std::move(on_time)), timer(scope.executor())
{
}

void wake_timer::set(instant when)
{
    auto const number = ++this->wait_number;
    auto const now = read_moment().monotonic;
    auto const wait = when > now + longest_wait ? longest_wait : when - now;
    this->timer.expires_after(std::max(wait, duration::zero()));
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
