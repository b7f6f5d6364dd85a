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

asio::awaitable<void> run_and_log_exceptions(std::shared_ptr<void> owner,
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
    owner.reset();
}

} // namespace

task_scope::task_scope(asio::any_io_executor executor)
    : task_executor(std::move(executor))
{
}

void task_scope::set_owner(std::weak_ptr<void> object)
{
    this->owner = std::move(object);
}

void task_scope::spawn(asio::awaitable<void> task)
{
    asio::co_spawn(this->task_executor,
                   run_and_log_exceptions(this->hold(), std::move(task)),
                   asio::detached);
}

asio::any_io_executor const& task_scope::executor() const
{
    return this->task_executor;
}

std::shared_ptr<void> task_scope::hold() const
{
    return this->owner.lock();
}

} // namespace plantaintally::drivers
