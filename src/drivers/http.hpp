// Short names of the I/O libraries, and the plain types of HTTP messages.
#pragma once

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

// A whole request as it was read.
struct incoming_request
{
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::string body;
    bool is_keep_alive = true;
};

// A request to send. The body is shared with the exchange that it belongs to.
struct outgoing_request
{
    std::string method;
    std::string target;
    std::vector<header_field> headers;
    std::shared_ptr<std::string const> body;
    // A header that the answer must bear with this value, in order to be told
    // from late answers to earlier requests; without a name: none.
    header_field expected_id = {};
};

// A whole answer as it was read.
struct answer
{
    std::uint32_t status = 0;
    std::vector<header_field> headers;
    std::string body;
    // What a HEAD request's answer states as the length of its body.
    std::optional<std::uint64_t> stated_length;
};

// An answer to send; the body must outlive the writing.
struct outgoing_answer
{
    std::uint32_t status = 200;
    std::vector<header_field> headers;
    std::string_view body;
    bool is_keep_alive = true;
    // True: the request was HEAD, and only the length of the body is sent.
    bool is_head = false;
    std::optional<std::uint64_t> stated_length;
};

} // namespace plantaintally::drivers
