#include "drivers/internal/deadline_guard.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace plantaintally::drivers
{

namespace
{

using clock = std::chrono::steady_clock;

// Cancellation is repeated at this interval, for I/O that started between a
// cancellation and its effect.
constexpr auto recancel_interval = std::chrono::milliseconds(20);

} // namespace

struct deadline_guard::timer_state
{
    explicit timer_state(tcp::socket& guarded)
        : timer(guarded.get_executor()), socket(&guarded)
    {
    }

    asio::steady_timer timer;
    // Null once the guard is destroyed.
    tcp::socket* socket;
    clock::time_point deadline = clock::time_point::max();
    // When the pending wait expires; max if there is none.
    clock::time_point timer_expiry = clock::time_point::max();
    std::uint64_t wait_generation = 0;
    bool is_expired = false;
};

deadline_guard::deadline_guard(tcp::socket& guarded)
    : state(std::make_shared<timer_state>(guarded))
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
    if (this->state->deadline < this->state->timer_expiry)
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
    return this->state->is_expired || clock::now() >= this->state->deadline;
}

void deadline_guard::wait(std::shared_ptr<timer_state> const& state)
{
    auto const generation = ++state->wait_generation;
    state->timer_expiry = state->deadline;
    state->timer.expires_at(state->deadline);
    state->timer.async_wait(
        [state, generation](error_code ec)
        {
            if (!ec && generation == state->wait_generation)
            {
                handle_timeout(state);
            }
        });
}

void deadline_guard::handle_timeout(std::shared_ptr<timer_state> const& state)
{
    state->timer_expiry = clock::time_point::max();
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
        state->deadline = now + recancel_interval;
    }
    wait(state);
}

} // namespace plantaintally::drivers
