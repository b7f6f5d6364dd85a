// The drivers with a hand-written reducer, in a thread of their own.
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
    // process at once unless `is_stopped_by_test` is set.
    explicit driven_node(reducer decides,
                         tweak const& changes = {},
                         bool is_stopped_by_test = false);
    ~driven_node();
    driven_node(driven_node const&) = delete;
    driven_node& operator=(driven_node const&) = delete;

    [[nodiscard]] std::string caller_address() const;
    [[nodiscard]] std::string peer_address() const;
    [[nodiscard]] std::string local_address() const;

    // The number of events of this kind so far.
    template <class Event>
    std::size_t count()
    {
        std::lock_guard const lock(this->mutex);
        return this->count_locked<Event>();
    }

    // Waits for this many events of a kind, and gives the last; fails the test
    // if they do not come.
    template <class Event>
    Event wait_for(std::size_t wanted = 1)
    {
        auto const end = std::chrono::steady_clock::now() + test_timeout;
        while (std::chrono::steady_clock::now() < end)
        {
            std::unique_lock lock(this->mutex);
            if (this->count_locked<Event>() >= wanted)
            {
                return this->last_locked<Event>();
            }
            lock.unlock();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        throw std::runtime_error("the awaited event did not come");
    }

    void request_stop();
    // Waits until run() has returned.
    void join();
    // The value of a metric's line, as text; empty if there is none.
    std::string metric(std::string const& line_begin);

private:
    settings::node_settings chosen;
    reducer decide;
    bool is_stopped_by_test;
    std::mutex mutex;
    std::vector<event> events;
    runtime driven;
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

// Refuses every request with this reason.
effects refuse_all(event const& happened);

} // namespace plantaintally::drivers
