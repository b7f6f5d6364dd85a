// Asks for the local upstream's health and tells it to drain.
#pragma once

#include "drivers/dialect.hpp"
#include "drivers/internal/connection_pool.hpp"
#include "drivers/internal/http_client.hpp"
#include "drivers/internal/task_scope.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

#include <functional>
#include <optional>
#include <string>

namespace plantaintally::drivers
{

class upstream_probe
{
public:
    struct services
    {
        task_scope& tasks;
        http_client& client;
        // For checks, whose connections are used once.
        connection_pool& check_connections;
        http_client& check_client;
        dialect const& external_dialect;
        std::function<void(event)> submit_event;
    };

    explicit upstream_probe(services required);

    // Requests the health of the upstream at this address, unless a request is
    // in flight. A valid response is submitted as health_hint; a missing one is
    // ignored.
    void probe(std::string const& address);
    // Asks which instance serves at an address. The result is submitted as
    // upstream_checked.
    void check(check_upstream const& requested);
    // Tells the upstream to drain; best effort.
    void drain(std::string const& address);

private:
    services dependencies;
    bool is_probing = false;

    asio::awaitable<void> run_probe(std::string address);
    asio::awaitable<void> run_check(check_upstream requested);
    asio::awaitable<void> run_drain(std::string address);
};

// Parses the body of a health response; returns nothing if it is invalid.
std::optional<health_hint> read_health(std::string_view body);

} // namespace plantaintally::drivers
