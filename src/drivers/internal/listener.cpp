#include "drivers/internal/listener.hpp"

#include "logging/logging.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

// Connections that are refused with a response at the same time; further ones
// are closed without a response.
constexpr std::uint32_t max_concurrent_refusals = 64;

// Connections accepted in a turn of the event loop besides the first one.
constexpr std::uint32_t max_accepts_per_turn = 256;

// Delay after a failed accept, for example when no file descriptor is
// available.
constexpr auto accept_retry_delay = std::chrono::milliseconds(50);

// Delay between attempts to open an optional listener.
constexpr auto open_retry_delay = std::chrono::seconds(1);

// Increments a counter for its own lifetime, so that the count stays right if a
// task throws.
class scoped_increment
{
public:
    explicit scoped_increment(std::uint32_t& counter) : total(counter)
    {
        ++this->total;
    }

    ~scoped_increment()
    {
        --this->total;
    }

    scoped_increment(scoped_increment const&) = delete;
    scoped_increment& operator=(scoped_increment const&) = delete;

private:
    std::uint32_t& total;
};

} // namespace

listener::listener(task_scope& scope,
                   counters& shared_metrics,
                   options new_options,
                   connection_handler serve,
                   connection_handler refuse)
    : tasks(scope), driver_metrics(shared_metrics),
      config(std::move(new_options)), serve_connection(std::move(serve)),
      refuse_connection(std::move(refuse)), acceptor(scope.executor())
{
}

result<void> listener::open()
{
    auto const ec = this->bind_and_listen();
    if (!ec)
    {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (!this->config.is_optional)
    {
        return fail(errc::io_failure,
                    std::string(this->config.name) + " listener at " +
                        settings::to_string(this->config.address) + ": " +
                        ec.message());
    }
    this->driver_metrics.add(this->metric("listener_open_failures_total"));
    logging::write({logging::level::warning,
                    "drivers",
                    "listener-unavailable",
                    {{"listener", std::string(this->config.name)},
                     {"address", settings::to_string(this->config.address)},
                     {"cause", ec.message()}}});
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void listener::start()
{
    this->tasks.spawn(this->accept());
}

void listener::close()
{
    error_code ignored;
    this->is_closed = true;
    this->acceptor.close(ignored);
}

std::uint32_t listener::connection_count() const
{
    return this->connections;
}

error_code listener::bind_and_listen()
{
    error_code ec;
    auto const host = asio::ip::make_address(this->config.address.host, ec);
    tcp::endpoint const address(host, this->config.address.port);
    if (!ec)
    {
        this->acceptor.open(address.protocol(), ec);
    }
    if (!ec)
    {
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec)
    {
        this->acceptor.bind(address, ec);
    }
    if (!ec)
    {
        this->acceptor.listen(tcp::acceptor::max_listen_connections, ec);
    }
    if (!ec)
    {
        this->acceptor.non_blocking(true, ec);
    }
    if (ec)
    {
        error_code ignored;
        this->acceptor.close(ignored);
    }
    return ec;
}

asio::awaitable<void> listener::reopen()
{
    while (!this->is_closed && !this->acceptor.is_open())
    {
        error_code ignored;
        asio::steady_timer pause(this->tasks.executor(), open_retry_delay);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        if (this->is_closed)
        {
            co_return;
        }
        if (this->bind_and_listen())
        {
            this->driver_metrics.add(
                this->metric("listener_open_failures_total"));
            continue;
        }
        logging::write(
            {logging::level::info,
             "drivers",
             "listener-opened",
             {{"listener", std::string(this->config.name)},
              {"address", settings::to_string(this->config.address)}}});
    }
}

asio::awaitable<void> listener::accept()
{
    co_await this->reopen();
    while (this->acceptor.is_open())
    {
        error_code ec;
        auto accepted = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
        if (!ec)
        {
            this->handle_accepted(std::move(accepted));
            this->accept_waiting();
            continue;
        }
        this->driver_metrics.add(this->metric("accept_failures_total"));
        asio::steady_timer pause(this->tasks.executor(), accept_retry_delay);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

// An asynchronous accept takes a turn of the event loop for each connection. If
// the turns are long, connections arrive faster than that, and the queue holds
// them until their callers have given up.
void listener::accept_waiting()
{
    for (std::uint32_t count = 0; count < max_accepts_per_turn; ++count)
    {
        error_code ec;
        auto accepted = this->acceptor.accept(ec);
        if (ec)
        {
            return;
        }
        this->handle_accepted(std::move(accepted));
    }
}

void listener::handle_accepted(tcp::socket accepted)
{
    error_code ignored;
    accepted.set_option(tcp::no_delay(true), ignored);
    if (this->connections < this->config.max_connections)
    {
        this->tasks.spawn(this->serve(std::move(accepted)));
        return;
    }
    this->driver_metrics.add(this->metric("connections_refused_total"));
    if (this->active_refusals < max_concurrent_refusals)
    {
        this->tasks.spawn(this->refuse(std::move(accepted)));
    }
}

asio::awaitable<void> listener::serve(tcp::socket accepted)
{
    this->driver_metrics.add(this->metric("connections_accepted_total"));
    {
        scoped_increment const active(this->connections);
        this->driver_metrics.set(this->metric("connections"),
                                 this->connections);
        co_await this->serve_connection(std::move(accepted));
    }
    this->driver_metrics.set(this->metric("connections"), this->connections);
}

asio::awaitable<void> listener::refuse(tcp::socket accepted)
{
    scoped_increment const active(this->active_refusals);
    co_await this->refuse_connection(std::move(accepted));
}

metric_name listener::metric(std::string_view name) const
{
    return {name, "listener", this->config.name, {}, {}};
}

} // namespace plantaintally::drivers
