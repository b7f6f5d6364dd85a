#include "drivers/internal/dead_peer_detection.hpp"

#include "logging/logging.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace plantaintally::drivers
{

namespace
{

using keepalive_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keepalive_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keepalive_count =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

void enable_dead_peer_detection(tcp::socket& socket,
                                dead_peer_limits const& limits)
{
    error_code ec;
    socket.set_option(tcp::socket::keep_alive(true), ec);
    if (!ec)
    {
        socket.set_option(keepalive_idle(limits.probe_idle_s), ec);
        socket.set_option(keepalive_interval(limits.probe_interval_s), ec);
        socket.set_option(keepalive_count(limits.max_lost_probes), ec);
        socket.set_option(
            user_timeout(static_cast<int>(limits.max_unacknowledged.count())),
            ec);
    }
    if (ec)
    {
        logging::write({logging::level::warning,
                        "drivers",
                        "keep-alive-unset",
                        {{"cause", ec.message()}}});
    }
}

} // namespace plantaintally::drivers
