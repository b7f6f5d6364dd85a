#include "standin/internal/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <stdexcept>
#include <utility>

namespace plantaintally::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t header_limit_bytes = 64 * 1024;
constexpr std::chrono::milliseconds recheck_interval{5};

asio::awaitable<void> sleep_for(std::chrono::microseconds delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    co_await timer.async_wait(asio::use_awaitable);
}

// Returns once the peer has closed the connection. Bytes of a pipelined request
// keep the socket readable, so that it is polled while they are pending.
asio::awaitable<void> wait_until_closed(tcp::socket& socket)
{
    for (;;)
    {
        co_await socket.async_wait(tcp::socket::wait_read, asio::use_awaitable);
        boost::system::error_code failure;
        if (socket.available(failure) == 0 || failure)
        {
            co_return;
        }
        co_await sleep_for(recheck_interval);
    }
}

} // namespace

http_reply json_reply(unsigned status, std::string body)
{
    http_reply reply;
    reply.response.result(status);
    reply.response.set(http::field::content_type, "application/json");
    reply.response.body() = std::move(body);
    return reply;
}

http_server::http_server(http_server_options server_options,
                         handler request_handler)
    : options(server_options), on_request(std::move(request_handler))
{
}

asio::awaitable<void> http_server::run(tcp::acceptor acceptor)
{
    while (acceptor.is_open())
    {
        auto [failure, socket] = co_await acceptor.async_accept(as_result);
        if (failure == asio::error::operation_aborted)
        {
            co_return;
        }
        if (failure)
        {
            // Probably out of file descriptors: wait until open connections are
            // closed.
            co_await sleep_for(recheck_interval);
            continue;
        }
        if (this->connection_count >= this->options.connection_limit)
        {
            ++this->refused_count;
            continue;
        }
        asio::co_spawn(acceptor.get_executor(),
                       this->serve(std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> http_server::serve(tcp::socket socket)
{
    struct count_guard
    {
        std::size_t& count;
        explicit count_guard(std::size_t& open) : count(open)
        {
            ++this->count;
        }
        ~count_guard()
        {
            --this->count;
        }
    };
    count_guard const open(this->connection_count);
    if (this->options.setup_cost.count() > 0)
    {
        co_await sleep_for(this->options.setup_cost);
    }
    socket.set_option(tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    for (bool stays_open = true; stays_open;)
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(header_limit_bytes);
        parser.body_limit(this->options.body_limit_bytes);
        auto const [read_failure, read] =
            co_await http::async_read(socket, buffer, parser, as_result);
        if (read_failure)
        {
            co_return;
        }
        stays_open = parser.get().keep_alive();
        auto outcome = co_await (this->handle(parser.release()) ||
                                 wait_until_closed(socket));
        if (outcome.index() == 1)
        {
            ++this->cancelled_count;
            co_return;
        }
        auto& reply = std::get<0>(outcome);
        if (reply.is_dropped)
        {
            co_return;
        }
        reply.response.keep_alive(stays_open);
        reply.response.prepare_payload();
        auto const [write_failure, written] =
            co_await http::async_write(socket, reply.response, as_result);
        if (write_failure)
        {
            co_return;
        }
    }
}

asio::awaitable<http_reply> http_server::handle(http_request request) const
{
    std::string message;
    try
    {
        co_return co_await this->on_request(std::move(request));
    }
    catch (boost::system::system_error const& failure)
    {
        if (failure.code() == asio::error::operation_aborted)
        {
            throw;
        }
        message = failure.what();
    }
    catch (std::exception const& failure)
    {
        message = failure.what();
    }
    http_reply reply;
    reply.response.result(http::status::bad_request);
    reply.response.body() = message;
    co_return reply;
}

tcp::endpoint parse_endpoint(std::string_view address)
{
    auto const colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        throw std::invalid_argument("address has no port; expected host:port");
    }
    auto const port_text = address.substr(colon + 1);
    std::uint16_t port = 0;
    auto const parsed = std::from_chars(
        port_text.data(), port_text.data() + port_text.size(), port);
    if (parsed.ec != std::errc{} ||
        parsed.ptr != port_text.data() + port_text.size())
    {
        throw std::invalid_argument(
            "address has an invalid port; expected host:port");
    }
    auto const host = std::string(address.substr(0, colon));
    return {asio::ip::make_address(host), port};
}

} // namespace plantaintally::standin
