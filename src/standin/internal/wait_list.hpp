// A condition variable for coroutines.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace plantaintally::standin
{

// Wakes waiters in the order of their calls to wait(). The timers live in the
// frames of the waiting coroutines; the list must outlive the io_context that
// runs them.
class wait_list
{
public:
    // Suspends until notified, or until the time limit has passed.
    boost::asio::awaitable<void> wait(std::chrono::microseconds limit);

    void notify_one();
    void notify_all();

    std::size_t size() const
    {
        return this->waiters.size();
    }

private:
    struct registration
    {
        wait_list& list;
        std::uint64_t id;

        registration(wait_list& owner, boost::asio::steady_timer& timer);
        ~registration();
        registration(registration const&) = delete;
        registration& operator=(registration const&) = delete;
    };

    std::uint64_t last_id = 0;
    std::map<std::uint64_t, boost::asio::steady_timer*> waiters;
};

} // namespace plantaintally::standin
