// The one timer that the reducer asks for.
#pragma once

#include "base/moment.hpp"
#include "drivers/internal/task_scope.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace plantaintally::drivers
{

// Both clocks of this process, read now.
moment read_moment();

class wake_timer
{
public:
    wake_timer(task_scope& scope, std::function<void()> on_time);

    // Calls back once the monotonic clock has reached this time; replaces the
    // time that was set before.
    void set(instant when);
    void cancel();

private:
    task_scope& tasks;
    std::function<void()> fire;
    asio::steady_timer timer;
    std::uint64_t wait_number = 0;

    void handle(std::uint64_t number, instant when);
};

} // namespace plantaintally::drivers
