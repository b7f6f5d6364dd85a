// The writing side of a connection from a client.
#pragma once

#include "base/moment.hpp"
#include "drivers/http.hpp"
#include "drivers/internal/accepted_connection.hpp"

#include <cstdint>

namespace plantaintally::drivers
{

class response_writer
{
public:
    // Takes the connection's writing side; the connection must outlive the
    // writer.
    explicit response_writer(accepted_connection& connection);

    // Write a response, or a `100 Continue`, within `timeout`. They return the
    // number of bytes written, or 0 if it was not written completely. Only one
    // write may be in progress.
    asio::awaitable<std::uint64_t> write(outgoing_answer const& content,
                                         duration timeout);
    asio::awaitable<std::uint64_t> write_continue(duration timeout);

    // Closes a connection whose peer may still be sending. Shuts down the
    // sending direction, then reads and discards a bounded amount for a short
    // time, so that a reset does not destroy the response before the peer has
    // read it.
    asio::awaitable<void> close_gracefully();

private:
    tcp::socket& socket;
    deadline_guard guard;

    template <class Message>
    asio::awaitable<std::uint64_t> write_message(Message const& message,
                                                 duration timeout);
};

} // namespace plantaintally::drivers
