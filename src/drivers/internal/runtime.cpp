#include "drivers/runtime.hpp"

#include "drivers/internal/engine.hpp"
#include "logging/logging.hpp"

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

// A single thread does all I/O; other threads only post to it.
constexpr int single_io_thread = BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO;

// Interval for checking whether the process can exit.
constexpr auto exit_poll_interval = std::chrono::milliseconds(20);

} // namespace

class runtime::implementation
{
public:
    implementation(settings::node_settings const& config,
                   node_id self,
                   node_callbacks callbacks,
                   dialect external_dialect)
        : signals(this->io, SIGTERM, SIGINT, SIGHUP), exit_poll_timer(this->io),
          node_engine(std::make_shared<engine>(this->io.get_executor(),
                                               config,
                                               std::move(self),
                                               std::move(callbacks),
                                               std::move(external_dialect)))
    {
    }

    result<void> open()
    {
        return this->node_engine->open();
    }

    void run()
    {
        this->await_signal();
        this->node_engine->on_exit_begun = [this]
        {
            this->poll_exit();
        };
        asio::post(this->io, [this] { this->node_engine->start(); });
        this->io.run();
        this->node_engine->close();
    }

    void on_reload(std::function<result<settings::node_settings>()> load)
    {
        this->load_settings = std::move(load);
    }

    void request_stop()
    {
        asio::post(this->io, [this] { this->node_engine->request_stop(); });
    }

private:
    // Declared first, so destroyed last: unfinished tasks hold the engine.
    asio::io_context io{single_io_thread};
    asio::signal_set signals;
    asio::steady_timer exit_poll_timer;
    std::shared_ptr<engine> node_engine;
    std::function<result<settings::node_settings>()> load_settings;

    void await_signal()
    {
        this->signals.async_wait(
            [this](error_code ec, int number)
            {
                if (ec)
                {
                    return;
                }
                if (number == SIGHUP)
                {
                    this->reload();
                }
                else
                {
                    this->node_engine->request_stop();
                }
                this->await_signal();
            });
    }

    void reload()
    {
        if (!this->load_settings)
        {
            return;
        }
        auto const loaded = this->load_settings();
        if (!loaded)
        {
            logging::write({logging::level::error,
                            "drivers",
                            "settings-rejected",
                            {{"cause", loaded.error().message}}});
            return;
        }
        this->node_engine->reload(loaded.value());
    }

    void poll_exit()
    {
        this->exit_poll_timer.expires_after(exit_poll_interval);
        this->exit_poll_timer.async_wait(
            [this](error_code ec)
            {
                if (ec)
                {
                    return;
                }
                if (this->node_engine->can_exit())
                {
                    this->io.stop();
                    return;
                }
                this->poll_exit();
            });
    }
};

runtime::runtime(settings::node_settings const& config,
                 node_id self,
                 node_callbacks callbacks,
                 dialect external_dialect)
    : impl(std::make_unique<implementation>(config,
                                            std::move(self),
                                            std::move(callbacks),
                                            std::move(external_dialect)))
{
}

runtime::~runtime() = default;

result<void> runtime::open()
{
    return this->impl->open();
}

void runtime::run()
{
    this->impl->run();
}

void runtime::on_reload(std::function<result<settings::node_settings>()> load)
{
    this->impl->on_reload(std::move(load));
}

void runtime::request_stop()
{
    this->impl->request_stop();
}

} // namespace plantaintally::drivers
