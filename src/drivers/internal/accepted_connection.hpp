// A connection from a client, with its two directions kept apart: it can be
// read from here, but written to only by the one owner of its writing side.
#pragma once

#include "drivers/http.hpp"
#include "drivers/internal/deadline_guard.hpp"
#include "drivers/internal/peek.hpp"

#include <string>
#include <utility>

namespace plantaintally::drivers
{

class accepted_connection
{
public:
    explicit accepted_connection(tcp::socket accepted);

    [[nodiscard]] std::string remote_ip() const;
    // True if both ends have the same address.
    [[nodiscard]] bool is_from_own_host() const;
    asio::any_io_executor executor();
    peek_result peek();
    // Limits the time of reads.
    deadline_guard& read_guard();
    // Cancels the pending I/O.
    void cancel();

    template <class Buffers, class Token>
    auto async_read_some(Buffers const& buffers, Token&& token)
    {
        return this->socket.async_read_some(buffers,
                                            std::forward<Token>(token));
    }

    // Returns the socket for writing. Throws std::logic_error if the writing
    // side is taken already, so that two messages can't mix.
    tcp::socket& take_writing_side();

private:
    tcp::socket socket;
    deadline_guard guard;
    bool is_writing_side_taken = false;
};

} // namespace plantaintally::drivers
