// Starts coroutines that keep the drivers alive for as long as they run.
#pragma once

#include "drivers/http.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace plantaintally::drivers
{

class task_scope
{
public:
    explicit task_scope(asio::any_io_executor runs_on);

    // The object that every task keeps alive; set once, before any task.
    void keep(std::weak_ptr<void> kept);

    // Runs the task to its end. An exception out of it is logged.
    void spawn(asio::awaitable<void> task);

    [[nodiscard]] asio::any_io_executor const& executor() const;
    // For callbacks that are no coroutine: hold this while one is pending.
    [[nodiscard]] std::shared_ptr<void> hold() const;

private:
    asio::any_io_executor runs_on;
    std::weak_ptr<void> kept;
};

} // namespace plantaintally::drivers
