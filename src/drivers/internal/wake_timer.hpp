// The reducer's only timer.
#pragma once

#include "base/moment.hpp"
#include "drivers/internal/task_scope.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace plantaintally::drivers
{

// Returns the current readings of the monotonic and the wall clock.
moment read_moment();

class wake_timer
{
public:
    wake_timer(task_scope& scope, std::function<void()> callback);

    // Invokes the callback once the monotonic clock reaches `when`. Replaces
    // the previous time.
    void set(instant when);
    void cancel();

private:
    task_scope& tasks;
    std::function<void()> on_fire;
    asio::steady_timer timer;
    std::uint64_t wait_generation = 0;

    void handle_expiry(std::uint64_t generation, instant when);
};

} // namespace plantaintally::drivers
