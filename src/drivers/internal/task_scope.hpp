// Starts coroutines that keep an owner object alive while they run.
#pragma once

#include "drivers/http.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace plantaintally::drivers
{

class task_scope
{
public:
    explicit task_scope(asio::any_io_executor task_executor);

    // Sets the object that every task keeps alive. Call once, before starting
    // tasks.
    void set_owner(std::weak_ptr<void> owner);

    // Starts a task. An exception from the task is logged.
    void spawn(asio::awaitable<void> task);

    [[nodiscard]] asio::any_io_executor const& executor() const;
    // Keeps the owner alive for pending callbacks that are not coroutines.
    [[nodiscard]] std::shared_ptr<void> hold() const;

private:
    asio::any_io_executor task_executor;
    std::weak_ptr<void> owner;
};

} // namespace plantaintally::drivers
