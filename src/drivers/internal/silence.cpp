#include "drivers/internal/silence.hpp"

#include "logging/logging.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace plantaintally::drivers
{

namespace
{

using option = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// Seconds without traffic before the first probe, and between two probes.
constexpr int probe_after_s = 1;
constexpr int probe_interval_s = 1;
// Probes without an answer after which the connection has ended.
constexpr int max_lost_probes = 2;
// Longest time that sent bytes stay unacknowledged.
constexpr int max_unacknowledged_ms = 2500;

} // namespace

void notice_silence(tcp::socket& socket)
{
    error_code problem;
    socket.set_option(tcp::socket::keep_alive(true), problem);
    if (!problem)
    {
        socket.set_option(option(probe_after_s), problem);
        socket.set_option(interval(probe_interval_s), problem);
        socket.set_option(count(max_lost_probes), problem);
        socket.set_option(user_timeout(max_unacknowledged_ms), problem);
    }
    if (problem)
    {
        logging::write({logging::level::warning,
                        "drivers",
                        "keep-alive-unset",
                        {{"cause", problem.message()}}});
    }
}

} // namespace plantaintally::drivers
