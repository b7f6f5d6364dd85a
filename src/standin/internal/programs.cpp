#include "standin/programs.hpp"

#include "standin/caller.hpp"
#include "standin/internal/http_client.hpp"
#include "standin/internal/http_server.hpp"
#include "standin/platform.hpp"
#include "standin/upstream.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

namespace plantaintally::standin
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds connection_setup_cost{1};

void rethrow(std::exception_ptr const& failure)
{
    if (failure)
    {
        std::rethrow_exception(failure);
    }
}

void listen(asio::io_context& io, http_server& server, std::string_view address)
{
    asio::co_spawn(
        io, server.run(tcp::acceptor(io, parse_endpoint(address))), rethrow);
}

bool write_text(std::string const& path, std::string const& text)
{
    if (path.empty())
    {
        std::cout << text << '\n';
        return true;
    }
    std::ofstream file(path);
    file << text;
    return static_cast<bool>(file);
}

} // namespace

int run_platform(std::string const& address, std::uint64_t seed)
{
    platform service(seed);
    http_server server({},
                       [&service](http_request request)
                       { return service.handle(std::move(request)); });
    asio::io_context io;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](auto, int) { io.stop(); });
    listen(io, server, address);
    asio::co_spawn(io, service.run_lease_expiry(), rethrow);
    io.run();
    return 0;
}

int run_upstream(upstream_options const& options)
{
    upstream service(options);
    http_server_options server_options;
    server_options.connection_limit = options.connections;
    server_options.setup_cost = connection_setup_cost;
    http_server server(server_options,
                       [&service](http_request request)
                       { return service.handle(std::move(request)); });
    service.set_server(server);
    asio::io_context io;
    http_client client(io.get_executor());
    service.set_client(client);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&](auto, int)
        {
            asio::co_spawn(io,
                           service.drain(),
                           [&io](std::exception_ptr const& failure)
                           {
                               rethrow(failure);
                               io.stop();
                           });
        });
    listen(io, server, options.address);
    asio::co_spawn(io, service.announce(), rethrow);
    io.run();
    std::cout << service.report_json() << std::endl;
    return 0;
}

int run_caller(caller_plan plan, caller_outputs const& outputs)
{
    caller traffic(std::move(plan));
    http_server server({},
                       [&traffic](http_request request)
                       { return traffic.handle(std::move(request)); });
    asio::io_context io;
    http_client client(io.get_executor());
    traffic.set_client(client);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&traffic](boost::system::error_code failure, int)
        {
            if (!failure)
            {
                traffic.stop();
            }
        });
    if (!outputs.control_address.empty())
    {
        listen(io, server, outputs.control_address);
    }
    asio::co_spawn(io,
                   traffic.run(),
                   [&io](std::exception_ptr const& failure)
                   {
                       rethrow(failure);
                       io.stop();
                   });
    io.run();
    bool const is_written =
        write_text(outputs.report_path, traffic.summary_json()) &&
        (outputs.records_path.empty() ||
         write_text(outputs.records_path, traffic.records_json_lines()));
    return is_written ? 0 : 1;
}

} // namespace plantaintally::standin
