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
    using server = std::function<asio::awaitable<void>(tcp::socket)>;

    struct options
    {
        // Label of the metrics: "caller", "peer", "local".
        std::string_view name;
        settings::endpoint address;
        std::uint32_t max_connections = 0;
    };

    // `serve` takes accepted connections, `refuse` those beyond the limit.
    listener(task_scope& scope,
             counters& counting,
             options wanted,
             server serve,
             server refuse);

    // Binds the address; fails if it can't be had.
    result<void> open();
    // Accepts until closed.
    void start();
    void close();
    [[nodiscard]] std::uint32_t connection_count() const;

private:
    task_scope& tasks;
    counters& figures;
    options chosen;
    server serve_connection;
    server refuse_connection;
    tcp::acceptor acceptor;
    std::uint32_t connections = 0;
    std::uint32_t refusals = 0;

    asio::awaitable<void> accept();
    void take(tcp::socket accepted);
    asio::awaitable<void> serve(tcp::socket accepted);
    asio::awaitable<void> refuse(tcp::socket accepted);
    [[nodiscard]] figure_name figure(std::string_view name) const;
};

} // namespace plantaintally::drivers
