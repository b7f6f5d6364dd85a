#include "drivers/internal/response_writer.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace plantaintally::drivers
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned http_version_1_1 = 11;
constexpr auto linger_time = std::chrono::milliseconds(500);
constexpr std::size_t linger_bytes = 1U << 20U;
constexpr std::size_t linger_chunk_bytes = 4096;

using response = http::response<http::span_body<char const>>;

response to_response(outgoing_answer const& content)
{
    response message;
    message.version(http_version_1_1);
    message.result(content.status);
    for (auto const& header : content.headers)
    {
        message.insert(header.name, header.value);
    }
    message.keep_alive(content.is_keep_alive);
    if (content.is_head)
    {
        auto const length =
            content.declared_content_length.value_or(content.body.size());
        message.content_length(length);
        return message;
    }
    message.body() = boost::beast::span<char const>(content.body.data(),
                                                    content.body.size());
    message.prepare_payload();
    return message;
}

} // namespace

response_writer::response_writer(accepted_connection& connection)
    : socket(connection.take_writing_side()), guard(this->socket)
{
}

asio::awaitable<std::uint64_t>
response_writer::write(outgoing_answer const& content, duration timeout)
{
    auto const message = to_response(content);
    co_return co_await this->write_message(message, timeout);
}

asio::awaitable<std::uint64_t> response_writer::write_continue(duration timeout)
{
    http::response<http::empty_body> const interim(http::status::continue_,
                                                   http_version_1_1);
    co_return co_await this->write_message(interim, timeout);
}

template <class Message>
asio::awaitable<std::uint64_t>
response_writer::write_message(Message const& message, duration timeout)
{
    error_code ec;
    this->guard.arm(timeout);
    auto const count = co_await http::async_write(
        this->socket, message, asio::redirect_error(asio::use_awaitable, ec));
    this->guard.disarm();
    co_return ec ? 0 : count;
}

asio::awaitable<void> response_writer::close_gracefully()
{
    error_code ec;
    this->socket.shutdown(tcp::socket::shutdown_send, ec);
    this->guard.arm(linger_time);
    std::array<char, linger_chunk_bytes> discarded{};
    std::size_t total = 0;
    while (!ec && total < linger_bytes && !this->guard.is_expired())
    {
        total += co_await this->socket.async_read_some(
            asio::buffer(discarded),
            asio::redirect_error(asio::use_awaitable, ec));
    }
    this->guard.disarm();
    this->socket.close(ec);
}

} // namespace plantaintally::drivers
