// Executes the attempts that the reducer starts: sends an exchange's request to
// a peer or to the upstream, and retains the responses until the reducer
// releases them.
#pragma once

#include "admission/answer_budget.hpp"
#include "drivers/dialect.hpp"
#include "drivers/internal/exchange_table.hpp"
#include "drivers/internal/http_client.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace plantaintally::drivers
{

class attempts
{
public:
    struct services
    {
        task_scope& tasks;
        counters& driver_metrics;
        exchange_table& exchanges;
        http_client& peers;
        http_client& upstream;
        dialect const& external_dialect;
        std::function<void(event)> submit_event;
        std::shared_ptr<admission::answer_budget> retained;
    };

    explicit attempts(services required);

    void forward(forward_request const& effect);
    void dispatch(dispatch_request const& effect);
    void cancel(attempt_id id);
    void release(attempt_id id);
    // Returns null if the attempt has no response or was released.
    [[nodiscard]] answer_ptr find_answer(attempt_id id) const;
    [[nodiscard]] std::size_t running_count() const;

private:
    services dependencies;
    std::unordered_map<attempt_id, call_control> running;
    std::unordered_map<attempt_id, answer_ptr> answers;

    asio::awaitable<void> run(attempt_id id,
                              http_client& client,
                              std::string address,
                              outgoing_request request,
                              duration timeout);
    void finish(attempt_id id, bool is_peer, answer full_answer);
    void fail(attempt_id id, call_failure failure);
    bool retain(attempt_id id, bool is_peer, answer full_answer);
    void publish_retained_metrics();
};

} // namespace plantaintally::drivers
