// The concurrency slots of an upstream, with a bounded backlog of waiting
// requests.
#pragma once

#include "standin/internal/wait_list.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>

namespace plantaintally::standin
{

class slot_queue;

// Holds one slot until destroyed.
class slot
{
public:
    explicit slot(slot_queue& owner);
    slot(slot&& other) noexcept;
    slot& operator=(slot&&) = delete;
    slot(slot const&) = delete;
    slot& operator=(slot const&) = delete;
    ~slot();

private:
    slot_queue* queue;
};

// Grants slots in order of arrival. Must outlive the io_context of its waiters.
class slot_queue
{
public:
    slot_queue(std::size_t slot_count, std::size_t backlog_limit);

    // Waits for a slot; returns nothing, without waiting, if the backlog is
    // full.
    boost::asio::awaitable<std::optional<slot>> acquire();

    // Changes the number of slots; held slots are not taken back.
    void resize(std::size_t slot_count);

    std::size_t running() const
    {
        return this->running_count;
    }

    std::size_t waiting() const
    {
        return this->waiters.size();
    }

    std::size_t slots() const
    {
        return this->slot_limit;
    }

private:
    friend class slot;

    void release();

    std::size_t slot_limit;
    std::size_t backlog_limit;
    std::size_t running_count = 0;
    wait_list waiters;
};

} // namespace plantaintally::standin
