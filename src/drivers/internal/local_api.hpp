// Handles requests of the local upstream and of operators under
// /plantaintally/v1/, the health check and the metrics endpoint.
#pragma once

#include "drivers/internal/counters.hpp"
#include "drivers/internal/pending_replies.hpp"
#include "drivers/internal/session.hpp"
#include "drivers/internal/task_scope.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantaintally::drivers
{

class local_api
{
public:
    struct services
    {
        task_scope& tasks;
        counters& driver_metrics;
        std::function<void(event)> submit_event;
        // Returns all metrics of the node and of the drivers.
        std::function<std::vector<node::statistic>()> collect_metrics;
        duration command_timeout{};
    };

    explicit local_api(services required);

    // Handles a request. Returns nothing if the target does not belong to this
    // API; the request is then a downstream call.
    asio::awaitable<std::optional<local_answer>>
    answer(incoming_request const& request);

    // Completes an operator's pending command; ignored if it has timed out.
    void answer_command(answer_operator const& answered);

    // The local upstream's latest announcement, if any.
    [[nodiscard]] std::optional<upstream_announcement> const&
    announcement() const;

private:
    services dependencies;
    std::uint64_t last_command_id = 0;
    pending_replies<command_id, answer_operator> pending_commands;
    std::optional<upstream_announcement> announced;

    asio::awaitable<local_answer> route(incoming_request const& request);
    local_answer announce(incoming_request const& request);
    asio::awaitable<local_answer> command(incoming_request const& request);
    local_answer metrics_text();
};

} // namespace plantaintally::drivers
