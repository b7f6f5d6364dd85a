// Reads and parses HTTP messages piece by piece, within a deadline.
#pragma once

#include "drivers/http.hpp"
#include "drivers/internal/deadline_guard.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>

namespace plantaintally::drivers
{

// Passes the buffered bytes to an eager parser and removes those that it has
// taken. Most messages arrive in one piece; parsing them here saves the event
// loop a turn for the header and another for the body. Returns no error if the
// message is incomplete.
template <class Parser>
error_code parse_buffered(boost::beast::flat_buffer& buffer, Parser& source)
{
    error_code ec;
    while (buffer.size() > 0 && !source.is_done())
    {
        auto const used = source.put(buffer.data(), ec);
        buffer.consume(used);
        if (ec || used == 0)
        {
            break;
        }
    }
    if (ec == boost::beast::http::error::need_more)
    {
        return {};
    }
    return ec;
}

// Smallest space for which a piece is read.
inline constexpr std::size_t min_piece_bytes = 4096;

// Receives the bytes that are available, or waits for the first ones, and
// returns their number.
template <class Stream>
asio::awaitable<std::size_t>
receive_piece(Stream& stream, boost::beast::flat_buffer& buffer, error_code& ec)
{
    auto const free_bytes = buffer.capacity() - buffer.size();
    auto const room = std::min(std::max(min_piece_bytes, free_bytes),
                               buffer.max_size() - buffer.size());
    if (room == 0)
    {
        ec = boost::beast::http::error::buffer_overflow;
        co_return 0;
    }
    auto const count = co_await stream.async_read_some(
        buffer.prepare(room), asio::redirect_error(asio::use_awaitable, ec));
    buffer.commit(count);
    co_return count;
}

// Receives one piece and passes it to an eager parser; returns its size. The
// composed read operations of the library end only with a whole message, and a
// guard can't cancel them while each piece is ready when it is asked for. So
// the deadline is checked before each piece.
template <class Stream, class Parser>
asio::awaitable<std::size_t> read_piece(Stream& stream,
                                        deadline_guard const& guard,
                                        boost::beast::flat_buffer& buffer,
                                        Parser& source,
                                        error_code& ec)
{
    if (guard.is_expired())
    {
        ec = asio::error::timed_out;
        co_return 0;
    }
    auto const count = co_await receive_piece(stream, buffer, ec);
    if (!ec)
    {
        ec = parse_buffered(buffer, source);
    }
    else if (ec == asio::error::eof)
    {
        ec = boost::beast::http::error::end_of_stream;
        if (source.got_some())
        {
            ec = {};
            source.put_eof(ec);
        }
    }
    co_return count;
}

} // namespace plantaintally::drivers
