// Runs the drivers with a hand-written reducer in a separate thread.
#pragma once

#include "drivers/runtime.hpp"
#include "scripted_server.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace plantaintally::drivers
{

class driven_node
{
public:
    using reducer = std::function<effects(event const&)>;
    using tweak = std::function<void(settings::node_settings&)>;

    // The reducer is called in the drivers' thread. A planned stop ends the
    // node at once unless `is_stopped_by_test` is set; then the reducer must
    // request the exit.
    explicit driven_node(reducer reducer_function,
                         tweak const& changes = {},
                         bool is_stopped_by_test = false);
    ~driven_node();
    driven_node(driven_node const&) = delete;
    driven_node& operator=(driven_node const&) = delete;

    [[nodiscard]] std::string caller_address() const;
    [[nodiscard]] std::string peer_address() const;
    [[nodiscard]] std::string local_address() const;

    // Returns the number of events of this type so far.
    template <class Event>
    std::size_t count()
    {
        std::lock_guard const lock(this->mutex);
        return this->count_locked<Event>();
    }

    // Waits until this many events of a type have occurred and returns the last
    // one; fails the test if they do not occur in time.
    template <class Event>
    Event wait_for(std::size_t expected_count = 1)
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (std::chrono::steady_clock::now() < end)
        {
            std::unique_lock lock(this->mutex);
            if (this->count_locked<Event>() >= expected_count)
            {
                return this->last_locked<Event>();
            }
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        throw std::runtime_error("timed out waiting for an event");
    }

    void request_stop();
    // Waits until run() has returned.
    void join();
    // Returns the value of the metric whose line begins with this text; empty
    // if there is none.
    std::string metric(std::string const& line_prefix);

private:
    settings::node_settings config;
    reducer reduce_event;
    bool is_stopped_by_test;
    std::mutex mutex;
    std::vector<event> events;
    runtime node_runtime;
    std::thread running;

    effects reduce(event const& happened);

    template <class Event>
    std::size_t count_locked() const
    {
        std::size_t found = 0;
        for (auto const& each : this->events)
        {
            found += std::holds_alternative<Event>(each) ? 1 : 0;
        }
        return found;
    }

    template <class Event>
    Event last_locked() const
    {
        for (auto each = this->events.rbegin(); each != this->events.rend();
             ++each)
        {
            if (auto const* const found = std::get_if<Event>(&*each))
            {
                return *found;
            }
        }
        return {};
    }
};

// Refuses every request with reason overload.
effects refuse_all(event const& happened);

} // namespace plantaintally::drivers
