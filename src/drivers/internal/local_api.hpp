// The requests of the upstream beside the node and of operators, under
// /plantaintally/v1/, and the metrics.
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
        counters& figures;
        std::function<void(event)> hand_in;
        // Every figure of the node and of the drivers.
        std::function<std::vector<node::statistic>()> collect;
        duration command_timeout{};
    };

    explicit local_api(services wanted);

    // The answer, or nothing if the request is a downstream call.
    asio::awaitable<std::optional<local_answer>>
    answer(incoming_request const& request);

    // Answers an operator's command; ignored if nobody waits for it any more.
    void answer_command(answer_operator const& answered);

    // What the local upstream last announced, if it has.
    [[nodiscard]] std::optional<upstream_announcement> const&
    announcement() const;

private:
    services chosen;
    std::uint64_t last_command = 0;
    pending_replies<command_id, answer_operator> commands;
    std::optional<upstream_announcement> announced;

    asio::awaitable<local_answer> route(incoming_request const& request);
    local_answer announce(incoming_request const& request);
    asio::awaitable<local_answer> command(incoming_request const& request);
    local_answer metrics_text();
};

} // namespace plantaintally::drivers
