// Cancels the pending I/O on a socket at a deadline without closing the socket.
// I/O for which data is ready completes without being pending, so a loop of
// reads must check is_expired() as well.
#pragma once

#include "base/moment.hpp"
#include "drivers/http.hpp"

#include <memory>

namespace plantaintally::drivers
{

// Uses one timer per connection. Arming the guard again usually only moves the
// deadline: the pending wait checks the deadline when it expires, so that a
// busy connection does not start a timer for every request.
class deadline_guard
{
public:
    explicit deadline_guard(tcp::socket& guarded);
    ~deadline_guard();
    deadline_guard(deadline_guard const&) = delete;
    deadline_guard& operator=(deadline_guard const&) = delete;

    // Cancels the socket's I/O once `time_left` has passed.
    void arm(duration time_left);
    void disarm();
    // True if the deadline has passed while the guard was armed; reset by
    // arm().
    [[nodiscard]] bool is_expired() const;

private:
    struct timer_state;
    std::shared_ptr<timer_state> state;

    static void wait(std::shared_ptr<timer_state> const& state);
    static void handle_timeout(std::shared_ptr<timer_state> const& state);
};

} // namespace plantaintally::drivers
