// Ends the I/O on a socket at a deadline, and leaves the socket open.
#pragma once

#include "base/moment.hpp"
#include "drivers/http.hpp"

#include <memory>

namespace plantaintally::drivers
{

// One timer a connection. Arming again only moves the deadline: the pending
// wait looks at it when it ends, so that a busy connection does not set a timer
// for every request.
class deadline_guard
{
public:
    explicit deadline_guard(tcp::socket& guarded);
    ~deadline_guard();
    deadline_guard(deadline_guard const&) = delete;
    deadline_guard& operator=(deadline_guard const&) = delete;

    // From now on I/O is cancelled once this much time has passed.
    void arm(duration time_left);
    void disarm();
    // True once the deadline has passed while armed, until armed again.
    [[nodiscard]] bool is_expired() const;

private:
    struct watch;
    std::shared_ptr<watch> state;

    static void wait(std::shared_ptr<watch> const& state);
    static void handle_wait(std::shared_ptr<watch> const& state);
};

} // namespace plantaintally::drivers
