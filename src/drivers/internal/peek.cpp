#include "drivers/internal/peek.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace plantaintally::drivers
{

peeked peek(tcp::socket& socket)
{
    char next = 0;
    auto const count =
        recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
    {
        return peeked::bytes;
    }
    bool const is_open = count < 0 && (errno == EAGAIN || errno == EINTR);
    return is_open ? peeked::nothing : peeked::end;
}

} // namespace plantaintally::drivers
