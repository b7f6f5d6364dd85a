// A small HTTP/1.1 server that handles each request in a coroutine.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace plantaintally::standin
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

// A handler's response, or its decision to drop the connection.
struct http_reply
{
    http_response response;
    // Closes the connection without an answer.
    bool is_dropped = false;
};

// Returns a reply with a JSON body.
http_reply json_reply(unsigned status, std::string body);

struct http_server_options
{
    std::size_t connection_limit = 4096;
    // Simulated cost of a new connection: delay before its first request is
    // read.
    std::chrono::microseconds setup_cost{0};
    std::size_t body_limit_bytes = std::size_t{4} * 1024 * 1024;
};

// Must outlive the io_context that runs it. If the client closes the connection
// while its request is handled, the handler is cancelled at its next suspension
// point. A request whose handler throws is answered with 400 and the error
// message.
class http_server
{
public:
    using handler =
        std::function<boost::asio::awaitable<http_reply>(http_request)>;

    http_server(http_server_options server_options, handler request_handler);

    // Accepts connections until the acceptor is closed.
    boost::asio::awaitable<void> run(boost::asio::ip::tcp::acceptor acceptor);

    void set_connection_limit(std::size_t limit)
    {
        this->options.connection_limit = limit;
    }

    std::size_t connections() const
    {
        return this->connection_count;
    }

    // Connections that were closed at once because the limit was reached.
    std::size_t refused_connections() const
    {
        return this->refused_count;
    }

    // Requests whose client closed the connection before the answer.
    std::size_t cancelled_requests() const
    {
        return this->cancelled_count;
    }

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<http_reply> handle(http_request request) const;

    http_server_options options;
    handler on_request;
    std::size_t connection_count = 0;
    std::size_t refused_count = 0;
    std::size_t cancelled_count = 0;
};

// Parses "host:port", where host is an IP address. Throws
// std::invalid_argument if the port is missing or invalid, and
// boost::system::system_error if the host is.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view address);

} // namespace plantaintally::standin
