#include "drivers/internal/deadline_guard.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace plantaintally::drivers
{

namespace
{

using clock = std::chrono::steady_clock;

// I/O that began between a cancellation and its effect is cancelled again
// after this time.
constexpr auto repeat_interval = std::chrono::milliseconds(20);

} // namespace

struct deadline_guard::watch
{
    explicit watch(tcp::socket& guarded)
        : timer(guarded.get_executor()), socket(&guarded)
    {
    }

    asio::steady_timer timer;
    // Null once the guard is gone.
    tcp::socket* socket;
    clock::time_point deadline = clock::time_point::max();
    // When the pending wait ends; max if none is pending.
    clock::time_point wait_ends = clock::time_point::max();
    std::uint64_t wait_number = 0;
    bool is_expired = false;
};

deadline_guard::deadline_guard(tcp::socket& guarded)
    : state(std::make_shared<watch>(guarded))
{
}

deadline_guard::~deadline_guard()
{
    this->state->socket = nullptr;
    this->state->timer.cancel();
}

void deadline_guard::arm(duration time_left)
{
    this->state->is_expired = false;
    this->state->deadline = clock::now() + time_left;
    if (this->state->deadline < this->state->wait_ends)
    {
        wait(this->state);
    }
}

void deadline_guard::disarm()
{
    this->state->deadline = clock::time_point::max();
}

bool deadline_guard::is_expired() const
{
    return this->state->is_expired;
}

void deadline_guard::wait(std::shared_ptr<watch> const& state)
{
    auto const number = ++state->wait_number;
    state->wait_ends = state->deadline;
    state->timer.expires_at(state->deadline);
    state->timer.async_wait(
        [state, number](error_code problem)
        {
            if (!problem && number == state->wait_number)
            {
                handle_wait(state);
            }
        });
}

void deadline_guard::handle_wait(std::shared_ptr<watch> const& state)
{
    state->wait_ends = clock::time_point::max();
    bool const is_armed = state->deadline != clock::time_point::max();
    if (state->socket == nullptr || !is_armed)
    {
        return;
    }
    auto const now = clock::now();
    if (now >= state->deadline)
    {
        state->is_expired = true;
        error_code ignored;
        state->socket->cancel(ignored);
        state->deadline = now + repeat_interval;
    }
    wait(state);
}

} // namespace plantaintally::drivers
