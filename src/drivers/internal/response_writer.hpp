// Writes responses to a connection.
#pragma once

#include "base/moment.hpp"
#include "drivers/http.hpp"
#include "drivers/internal/deadline_guard.hpp"

#include <cstdint>

namespace plantaintally::drivers
{

// Writes a response within `timeout`. Returns the number of bytes written, or 0
// if the response was not written completely.
asio::awaitable<std::uint64_t> write_answer(tcp::socket& socket,
                                            deadline_guard& guard,
                                            duration timeout,
                                            outgoing_answer const& content);

// Closes a connection whose peer may still be sending. Shuts down the sending
// direction, then reads and discards a bounded amount for a short time, so that
// a reset does not destroy the response before the peer has read it.
asio::awaitable<void> close_gracefully(tcp::socket& socket,
                                       deadline_guard& guard);

} // namespace plantaintally::drivers
