#include "drivers/internal/wake_timer.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

// Longest single wait; a later time is reached in several waits. Also keeps the
// steady clock's nanoseconds from overflowing with the latest instant.
constexpr duration max_wait = std::chrono::hours(1);

// Keeps running while the machine is suspended, unlike the steady clock: a
// vouch or a lease must not outlast a suspension. The call can't fail on Linux.
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

wake_timer::wake_timer(task_scope& scope, std::function<void()> callback)
    : tasks(scope), on_fire(std::move(callback)), timer(scope.executor())
{
}

void wake_timer::set(instant when)
{
    auto const generation = ++this->wait_generation;
    auto const now = read_moment().monotonic;
    auto const wait = when > now + max_wait ? max_wait : when - now;
    this->timer.expires_after(std::max(wait, duration::zero()));
    this->timer.async_wait(
        [this, owner = this->tasks.hold(), generation, when](error_code ec)
        {
            if (!ec)
            {
                this->handle_expiry(generation, when);
            }
        });
}

void wake_timer::cancel()
{
    ++this->wait_generation;
    this->timer.cancel();
}

void wake_timer::handle_expiry(std::uint64_t generation, instant when)
{
    if (generation != this->wait_generation)
    {
        return;
    }
    if (read_moment().monotonic < when)
    {
        this->set(when);
        return;
    }
    this->on_fire();
}

} // namespace plantaintally::drivers
