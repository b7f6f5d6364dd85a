// The edge listeners: reports of the upstream, questions for readiness, and
// the metrics.
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
        counters& figures;
        dialect const& spoken;
        std::function<void(event)> hand_in;
        // The figures of the node and of the drivers as text.
        std::function<std::string()> write_metrics;
    };

    explicit edge_api(services wanted);

    asio::awaitable<local_answer> answer(incoming_request const& request);
    // Answers a report; ignored if nobody waits for it any more.
    void answer_report(plantaintally::answer_report const& answered);
    void set_ready(bool is_ready);

private:
    services chosen;
    std::uint64_t last_report = 0;
    bool is_ready = false;
    pending_replies<report_id, bool> reports;

    asio::awaitable<local_answer> take_report(upstream_report stated);
    [[nodiscard]] local_answer readiness() const;
};

} // namespace plantaintally::drivers
