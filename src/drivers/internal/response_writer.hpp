// Writes answers to a connection.
#pragma once

#include "base/moment.hpp"
#include "drivers/http.hpp"
#include "drivers/internal/deadline_guard.hpp"

#include <cstdint>

namespace plantaintally::drivers
{

// Writes the whole answer, or ends after `timeout`. Gives the bytes written, or
// zero if the answer was not written whole.
asio::awaitable<std::uint64_t> write_answer(tcp::socket& socket,
                                            deadline_guard& guard,
                                            duration timeout,
                                            outgoing_answer const& content);

// Ends a connection whose sender may still be sending, so that what was written
// to it is not lost: reads and drops a bounded amount for a short time.
asio::awaitable<void> close_gracefully(tcp::socket& socket,
                                       deadline_guard& guard);

} // namespace plantaintally::drivers
