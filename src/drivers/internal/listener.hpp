// Accepts connections on one address, up to a limit.
#pragma once

#include "base/result.hpp"
#include "drivers/internal/counters.hpp"
#include "drivers/internal/task_scope.hpp"
#include "settings/settings.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace plantaintally::drivers
{

class listener
{
public:
    // Serves one connection until it ends.
    using connection_handler =
        std::function<asio::awaitable<void>(tcp::socket)>;

    struct options
    {
        // Listener label in the metrics, for instance "caller", "peer" or
        // "local".
        std::string_view name;
        settings::endpoint address;
        std::uint32_t max_connections = 0;
        // True if the node serves without this listener. While its address is
        // not available, it is tried again.
        bool is_optional = false;
    };

    // `serve` handles accepted connections, `refuse` those beyond the limit.
    listener(task_scope& scope,
             counters& shared_metrics,
             options new_options,
             connection_handler serve,
             connection_handler refuse);

    // Binds the address and listens; fails if that is not possible, unless the
    // listener is optional.
    result<void> open();
    // Accepts connections until closed; opens the listener first if open()
    // could not.
    void start();
    void close();
    [[nodiscard]] std::uint32_t connection_count() const;

private:
    task_scope& tasks;
    counters& driver_metrics;
    options config;
    connection_handler serve_connection;
    connection_handler refuse_connection;
    tcp::acceptor acceptor;
    std::uint32_t connections = 0;
    std::uint32_t active_refusals = 0;
    bool is_closed = false;

    error_code bind_and_listen();
    // Tries to open the listener until that succeeds or it is closed.
    asio::awaitable<void> reopen();
    asio::awaitable<void> accept();
    // Accepts the connections that wait already, up to a limit.
    void accept_waiting();
    void handle_accepted(tcp::socket accepted);
    asio::awaitable<void> serve(tcp::socket accepted);
    asio::awaitable<void> refuse(tcp::socket accepted);
    [[nodiscard]] metric_name metric(std::string_view name) const;
};

} // namespace plantaintally::drivers
