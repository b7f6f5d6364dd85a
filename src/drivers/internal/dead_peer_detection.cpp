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

// Seconds without traffic before the first probe, and between probes.
constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
// Unanswered probes after which the connection is considered dead.
constexpr int max_lost_probes = 2;
// Longest time for which sent data may stay unacknowledged.
constexpr int max_unacknowledged_ms = 2500;

} // namespace

void enable_dead_peer_detection(tcp::socket& socket)
{
    error_code ec;
    socket.set_option(tcp::socket::keep_alive(true), ec);
    if (!ec)
    {
        socket.set_option(keepalive_idle(probe_idle_s), ec);
        socket.set_option(keepalive_interval(probe_interval_s), ec);
        socket.set_option(keepalive_count(max_lost_probes), ec);
        socket.set_option(user_timeout(max_unacknowledged_ms), ec);
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
