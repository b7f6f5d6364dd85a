#include "standin/internal/slot_queue.hpp"

#include <boost/asio/this_coro.hpp>

#include <chrono>
#include <utility>

namespace plantaintally::standin
{

namespace asio = boost::asio;

namespace
{

// Bounds the delay of a waiter that missed its wake-up.
constexpr std::chrono::milliseconds recheck_interval{50};

} // namespace

slot::slot(slot_queue& owner) : queue(&owner)
{
    ++owner.running_count;
}

slot::slot(slot&& other) noexcept : queue(std::exchange(other.queue, nullptr))
{
}

slot::~slot()
{
    if (this->queue != nullptr)
    {
        this->queue->release();
    }
}

slot_queue::slot_queue(std::size_t slot_count, std::size_t backlog)
    : slot_limit(slot_count), backlog_limit(backlog)
{
}

asio::awaitable<std::optional<slot>> slot_queue::acquire()
{
    bool const must_wait =
        this->running_count >= this->slot_limit || this->waiters.size() > 0;
    if (must_wait && this->waiters.size() >= this->backlog_limit)
    {
        co_return std::nullopt;
    }
    if (must_wait)
    {
        do
        {
            co_await this->waiters.wait(recheck_interval);
        } while (this->running_count >= this->slot_limit);
    }
    co_return slot(*this);
}

void slot_queue::resize(std::size_t slot_count)
{
    this->slot_limit = slot_count;
    this->waiters.notify_all();
}

void slot_queue::release()
{
    --this->running_count;
    this->waiters.notify_one();
}

} // namespace plantaintally::standin
