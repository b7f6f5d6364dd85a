#include "drivers/internal/task_scope.hpp"

#include "logging/logging.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <exception>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

asio::awaitable<void> run_guarded(std::shared_ptr<void> kept,
                                  asio::awaitable<void> task)
{
    try
    {
        co_await std::move(task);
    }
    catch (std::exception const& cause)
    {
        logging::write({logging::level::error,
                        "drivers",
                        "task-failed",
                        {{"cause", cause.what()}}});
    }
    kept.reset();
}

} // namespace

task_scope::task_scope(asio::any_io_executor executor)
    : runs_on(std::move(executor))
{
}

void task_scope::keep(std::weak_ptr<void> object)
{
    this->kept = std::move(object);
}

void task_scope::spawn(asio::awaitable<void> task)
{
    asio::co_spawn(this->runs_on,
                   run_guarded(this->hold(), std::move(task)),
                   asio::detached);
}

asio::any_io_executor const& task_scope::executor() const
{
    return this->runs_on;
}

std::shared_ptr<void> task_scope::hold() const
{
    return this->kept.lock();
}

} // namespace plantaintally::drivers
