#include "standin/internal/http_client.hpp"

#include "responses/response_parser.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace plantaintally::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t idle_limit_per_address = 256;
constexpr std::size_t answer_limit_bytes = std::size_t{16} * 1024 * 1024;

// Returns true if the peer has neither closed the idle connection nor sent
// unexpected bytes.
bool is_usable(tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code failure;
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

errc to_errc(boost::system::error_code failure)
{
    return failure == beast::error::timeout ? errc::timeout : errc::io_failure;
}

} // namespace

http_client::http_client(asio::any_io_executor io_executor)
    : executor(std::move(io_executor))
{
}

asio::awaitable<result<beast::tcp_stream>>
http_client::connect(std::string const& address,
                     std::chrono::microseconds timeout)
{
    auto& connections = this->idle_connections[address];
    while (!connections.empty())
    {
        stream connection = std::move(connections.back());
        connections.pop_back();
        if (is_usable(connection.socket()))
        {
            connection.expires_after(timeout);
            co_return connection;
        }
    }
    stream connection(this->executor);
    connection.expires_after(timeout);
    auto const [failure] =
        co_await connection.async_connect(parse_endpoint(address), as_result);
    if (failure)
    {
        co_return fail(errc::unavailable, failure.message());
    }
    connection.socket().set_option(tcp::no_delay(true));
    co_return connection;
}

asio::awaitable<result<http_response>>
http_client::call(std::string address,
                  http_request request,
                  std::chrono::microseconds timeout)
{
    auto connected = co_await this->connect(address, timeout);
    if (!connected)
    {
        co_return connected.error();
    }
    stream connection = std::move(connected.value());
    request.prepare_payload();
    auto const [write_failure, written] =
        co_await http::async_write(connection, request, as_result);
    if (write_failure)
    {
        auto const code =
            written == 0 ? errc::unavailable : to_errc(write_failure);
        co_return fail(code, write_failure.message());
    }
    beast::flat_buffer buffer;
    responses::response_parser parser;
    parser.body_limit(answer_limit_bytes);
    auto const [read_failure, read] =
        co_await http::async_read(connection, buffer, parser, as_result);
    if (read_failure)
    {
        co_return fail(to_errc(read_failure), read_failure.message());
    }
    auto response = parser.release();
    if (response.keep_alive() && buffer.size() == 0)
    {
        this->keep_idle(address, std::move(connection));
    }
    co_return response;
}

void http_client::keep_idle(std::string const& address, stream&& connection)
{
    auto& connections = this->idle_connections[address];
    if (connections.size() < idle_limit_per_address)
    {
        connection.expires_never();
        connections.push_back(std::move(connection));
    }
}

} // namespace plantaintally::standin
