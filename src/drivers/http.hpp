// Short names for the I/O libraries, and plain HTTP message types.
#pragma once

#include "admission/body_budget.hpp"
#include "codec/hop_headers.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::drivers
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using codec::header_field;
using error_code = boost::system::error_code;

// A request that was received completely.
struct incoming_request
{
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    bool is_keep_alive = true;
    // The memory of the body, as counted against the node's limit.
    admission::body_hold hold = {};
};

// A request to send. The body is shared with the exchange it belongs to.
struct outgoing_request
{
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::shared_ptr<std::string const> body;
    // Header by which the response is recognized: a response that carries this
    // header with another value is a late response to an earlier request and is
    // skipped, and one without it is malformed. An empty name accepts every
    // response.
    header_field expected_answer_header = {};
};

// A response that was received completely.
struct answer
{
    std::uint32_t status = 0;
    std::vector<header_field> headers;
    std::string body;
    // The Content-Length of a response to a HEAD request.
    std::optional<std::uint64_t> declared_content_length;
};

// A response to send. The body must outlive the write operation.
struct outgoing_answer
{
    std::uint32_t status = 200;
    std::vector<header_field> headers;
    std::string_view body;
    bool is_keep_alive = true;
    // True if the request was HEAD: the headers state the body's length, but no
    // body is sent.
    bool is_head = false;
    std::optional<std::uint64_t> declared_content_length;
};

} // namespace plantaintally::drivers
