// Checks a connection for pending data without consuming it.
#pragma once

#include "drivers/http.hpp"

namespace plantaintally::drivers
{

enum class peek_result
{
    // Open, without pending data.
    nothing,
    bytes,
    // The other side has shut down its sending direction or closed the
    // connection.
    end
};

// Makes one non-blocking system call.
peek_result peek(tcp::socket& socket);

} // namespace plantaintally::drivers
