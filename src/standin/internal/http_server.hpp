// A small HTTP/1.1 server: each request is handed to a coroutine.
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

// What a handler wants done with the connection of its request.
struct http_reply
{
    http_response response;
    // Close the connection without any answer.
    bool is_dropped = false;
};

// A reply with a JSON body.
http_reply json_reply(unsigned status, std::string body);

struct http_server_options
{
    std::size_t connection_limit = 4096;
    // Time that a new connection costs before its first request is read.
    std::chrono::microseconds setup_cost{0};
    std::size_t body_limit_bytes = std::size_t{4} * 1024 * 1024;
};

// Must outlive the io_context that runs it. A handler whose caller closes the
// connection is cancelled at its next suspension.
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

    // Requests whose caller went away before the answer.
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

// Splits "host:port"; throws std::invalid_argument on anything else.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view address);

} // namespace plantaintally::standin
