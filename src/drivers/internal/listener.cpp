#include "drivers/internal/listener.hpp"

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

// Connections being told at one time that there are too many; more are closed
// without a word.
constexpr std::uint32_t max_refusals = 64;

// Wait after a failed accept, for example while no file descriptor is left.
constexpr auto accept_pause = std::chrono::milliseconds(50);

// Counts one for as long as it lives, also if a task ends by an exception.
class counted
{
public:
    explicit counted(std::uint32_t& counter) : total(counter)
    {
        ++this->total;
    }

    ~counted()
    {
        --this->total;
    }

    counted(counted const&) = delete;
    counted& operator=(counted const&) = delete;

private:
    std::uint32_t& total;
};

} // namespace

listener::listener(task_scope& scope,
                   counters& counting,
                   options wanted,
                   server serve,
                   server refuse)
    : tasks(scope), figures(counting), chosen(std::move(wanted)),
      serve_connection(std::move(serve)), refuse_connection(std::move(refuse)),
      acceptor(scope.executor())
{
}

result<void> listener::open()
{
    error_code problem;
    auto const host =
        asio::ip::make_address(this->chosen.address.host, problem);
    tcp::endpoint const address(host, this->chosen.address.port);
    if (!problem)
    {
        this->acceptor.open(address.protocol(), problem);
    }
    if (!problem)
    {
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    }
    if (!problem)
    {
        this->acceptor.bind(address, problem);
    }
    if (!problem)
    {
        this->acceptor.listen(tcp::acceptor::max_listen_connections, problem);
    }
    if (problem)
    {
        return fail(errc::io_failure,
                    std::string(this->chosen.name) + " listener at " +
                        settings::to_string(this->chosen.address) + ": " +
                        problem.message());
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void listener::start()
{
    this->tasks.spawn(this->accept());
}

void listener::close()
{
    error_code ignored;
    this->acceptor.close(ignored);
}

std::uint32_t listener::connection_count() const
{
    return this->connections;
}

asio::awaitable<void> listener::accept()
{
    while (this->acceptor.is_open())
    {
        error_code problem;
        auto accepted = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, problem));
        if (!problem)
        {
            this->take(std::move(accepted));
            continue;
        }
        this->figures.add(this->figure("accept_failures_total"));
        asio::steady_timer pause(this->tasks.executor(), accept_pause);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, problem));
    }
}

void listener::take(tcp::socket accepted)
{
    error_code ignored;
    accepted.set_option(tcp::no_delay(true), ignored);
    if (this->connections < this->chosen.max_connections)
    {
        this->tasks.spawn(this->serve(std::move(accepted)));
        return;
    }
    this->figures.add(this->figure("connections_refused_total"));
    if (this->refusals < max_refusals)
    {
        this->tasks.spawn(this->refuse(std::move(accepted)));
    }
}

asio::awaitable<void> listener::serve(tcp::socket accepted)
{
    this->figures.add(this->figure("connections_accepted_total"));
    {
        counted const one(this->connections);
        this->figures.set(this->figure("connections"), this->connections);
        co_await this->serve_connection(std::move(accepted));
    }
    this->figures.set(this->figure("connections"), this->connections);
}

asio::awaitable<void> listener::refuse(tcp::socket accepted)
{
    counted const one(this->refusals);
    co_await this->refuse_connection(std::move(accepted));
}

figure_name listener::figure(std::string_view name) const
{
    return {name, "listener", this->chosen.name, {}, {}};
}

} // namespace plantaintally::drivers
