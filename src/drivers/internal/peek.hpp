// Looks at what a connection holds without reading it.
#pragma once

#include "drivers/http.hpp"

namespace plantaintally::drivers
{

enum class peeked
{
    // Open, and nothing has come.
    nothing,
    bytes,
    // The other side has closed its sending direction, or the connection.
    end
};

// One system call; does not wait.
peeked peek(tcp::socket& socket);

} // namespace plantaintally::drivers
