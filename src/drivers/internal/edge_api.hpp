// Handles requests on the edge listeners: the upstream's reports, readiness
// queries and the metrics endpoint.
#pragma once

#include "drivers/dialect.hpp"
#include "drivers/internal/counters.hpp"
#include "drivers/internal/pending_replies.hpp"
#include "drivers/internal/session.hpp"
#include "drivers/internal/task_scope.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

#include <functional>
#include <string>

namespace plantaintally::drivers
{

class edge_api
{
public:
    struct services
    {
        task_scope& tasks;
        counters& driver_metrics;
        dialect const& external_dialect;
        std::function<void(event)> submit_event;
        // The metrics of the node and of the drivers in the text format.
        std::function<std::string()> write_metrics;
        // The service of this machine's upstream; empty: any.
        std::string service;
    };

    explicit edge_api(services required);

    asio::awaitable<local_answer> answer(incoming_request const& request);
    // Completes a pending report; ignored if the report has timed out.
    void answer_report(plantaintally::answer_report const& answered);
    void set_ready(bool is_ready);

private:
    services dependencies;
    std::uint64_t last_report_id = 0;
    bool is_ready = false;
    pending_replies<report_id, bool> pending_reports;

    asio::awaitable<local_answer> handle_report(upstream_report reported);
    [[nodiscard]] local_answer readiness() const;
};

} // namespace plantaintally::drivers
