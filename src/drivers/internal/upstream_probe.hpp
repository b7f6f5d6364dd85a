// Polls the local upstream's health and tells it to drain.
#pragma once

#include "drivers/internal/http_client.hpp"
#include "drivers/internal/task_scope.hpp"
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
        std::function<void(event)> submit_event;
    };

    explicit upstream_probe(services required);

    // Requests the health of the upstream at this address, unless a request is
    // in flight. A valid response is submitted as health_hint; a missing one is
    // ignored.
    void probe(std::string const& address);
    // Tells the upstream to drain; best effort.
    void drain(std::string const& address);

private:
    services dependencies;
    bool is_probing = false;

    asio::awaitable<void> run_probe(std::string address);
    asio::awaitable<void> run_drain(std::string address);
};

// Parses the body of a health response; returns nothing if it is invalid.
std::optional<health_hint> read_health(std::string_view body);

} // namespace plantaintally::drivers
