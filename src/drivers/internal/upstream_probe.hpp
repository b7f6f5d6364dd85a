// Asks the local upstream about its health, and tells it to drain.
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
        std::function<void(event)> hand_in;
    };

    explicit upstream_probe(services wanted);

    // Asks the upstream at this address; at most one question is on its way.
    // An answer comes as health_hint, a missing one as nothing.
    void probe(std::string const& address);
    // Tells the upstream to drain; best effort.
    void drain(std::string const& address);

private:
    services chosen;
    bool is_probing = false;

    asio::awaitable<void> run_probe(std::string address);
    asio::awaitable<void> run_drain(std::string address);
};

// The hint in a health answer's body; nothing if it is none.
std::optional<health_hint> read_health(std::string_view body);

} // namespace plantaintally::drivers
