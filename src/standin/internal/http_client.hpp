// A small HTTP/1.1 client that reuses idle connections.
#pragma once

#include "base/result.hpp"
#include "standin/internal/http_server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace plantaintally::standin
{

// Declare it after the io_context, so that its sockets are closed first.
class http_client
{
public:
    explicit http_client(boost::asio::any_io_executor io_executor);

    // Sends the request to `address` ("host:port") and reads the complete
    // answer. Errors: unavailable if no byte was written, timeout if the
    // timeout expired, io_failure if the connection failed or the answer was
    // malformed or truncated.
    boost::asio::awaitable<result<http_response>>
    call(std::string address,
         http_request request,
         std::chrono::microseconds timeout);

    // Closes every idle connection.
    void clear()
    {
        this->idle_connections.clear();
    }

private:
    using stream = boost::beast::tcp_stream;

    // Returns an idle connection to the address, or opens one.
    boost::asio::awaitable<result<stream>>
    connect(std::string const& address, std::chrono::microseconds timeout);
    void keep_idle(std::string const& address, stream&& connection);

    boost::asio::any_io_executor executor;
    std::map<std::string, std::vector<stream>> idle_connections;
};

} // namespace plantaintally::standin
