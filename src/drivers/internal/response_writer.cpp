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

asio::awaitable<std::uint64_t> write_answer(tcp::socket& socket,
                                            deadline_guard& guard,
                                            duration timeout,
                                            outgoing_answer const& content)
{
    auto const message = to_response(content);
    error_code ec;
    guard.arm(timeout);
    auto const count = co_await http::async_write(
        socket, message, asio::redirect_error(asio::use_awaitable, ec));
    guard.disarm();
    co_return ec ? 0 : count;
}

asio::awaitable<void> close_gracefully(tcp::socket& socket,
                                       deadline_guard& guard)
{
    error_code ec;
    socket.shutdown(tcp::socket::shutdown_send, ec);
    guard.arm(linger_time);
    std::array<char, linger_chunk_bytes> discarded{};
    std::size_t total = 0;
    while (!ec && total < linger_bytes && !guard.is_expired())
    {
        total += co_await socket.async_read_some(
            asio::buffer(discarded),
            asio::redirect_error(asio::use_awaitable, ec));
    }
    guard.disarm();
    socket.close(ec);
}

} // namespace plantaintally::drivers
