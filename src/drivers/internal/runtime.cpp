#include "drivers/runtime.hpp"

#include "drivers/internal/engine.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

// One thread runs everything.
constexpr int one_thread = 1;

// How often the end is looked for once it may have come.
constexpr auto end_check_interval = std::chrono::milliseconds(20);

} // namespace

class runtime::implementation
{
public:
    implementation(settings::node_settings const& chosen,
                   node_id self,
                   decisions decided)
        : signals(this->io, SIGTERM, SIGINT), end_check(this->io),
          driven(std::make_shared<engine>(this->io.get_executor(),
                                          chosen,
                                          std::move(self),
                                          std::move(decided)))
    {
    }

    result<void> open()
    {
        return this->driven->open();
    }

    void run()
    {
        this->await_signal();
        this->await_end();
        asio::post(this->io, [this] { this->driven->start(); });
        this->io.run();
        this->driven->close();
    }

    void request_stop()
    {
        asio::post(this->io, [this] { this->driven->request_stop(); });
    }

private:
    // Destroyed last: tasks that have not ended hold the engine.
    asio::io_context io{one_thread};
    asio::signal_set signals;
    asio::steady_timer end_check;
    std::shared_ptr<engine> driven;

    void await_signal()
    {
        this->signals.async_wait(
            [this](error_code problem, int)
            {
                if (!problem)
                {
                    this->driven->request_stop();
                    this->await_signal();
                }
            });
    }

    void await_end()
    {
        this->end_check.expires_after(end_check_interval);
        this->end_check.async_wait(
            [this](error_code problem)
            {
                if (problem)
                {
                    return;
                }
                if (this->driven->is_finished())
                {
                    this->io.stop();
                    return;
                }
                this->await_end();
            });
    }
};

runtime::runtime(settings::node_settings const& chosen,
                 node_id self,
                 decisions decided)
    : inner(std::make_unique<implementation>(
          chosen, std::move(self), std::move(decided)))
{
}

runtime::~runtime() = default;

result<void> runtime::open()
{
    return this->inner->open();
}

void runtime::run()
{
    this->inner->run();
}

void runtime::request_stop()
{
    this->inner->request_stop();
}

} // namespace plantaintally::drivers
