#include "drivers/internal/peek.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace plantaintally::drivers
{

peek_result peek(tcp::socket& socket)
{
    char next = 0;
    auto const count =
        recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
    {
        return peek_result::bytes;
    }
    bool const is_open = count < 0 && (errno == EAGAIN || errno == EINTR);
    return is_open ? peek_result::nothing : peek_result::end;
}

} // namespace plantaintally::drivers
