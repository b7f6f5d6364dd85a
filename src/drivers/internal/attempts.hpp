// Carries out the reducer's attempts: sends an exchange's request to a peer or
// to the upstream, and keeps the answers until nobody needs them.
#pragma once

#include "drivers/dialect.hpp"
#include "drivers/internal/exchange_table.hpp"
#include "drivers/internal/http_client.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

#include <cstdint>
#include <functional>
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
        counters& figures;
        exchange_table& exchanges;
        http_client& peers;
        http_client& upstream;
        dialect const& spoken;
        std::function<void(event)> hand_in;
        std::uint64_t max_retained_bytes = 0;
    };

    explicit attempts(services wanted);

    void forward(forward_request const& wanted);
    void dispatch(dispatch_request const& wanted);
    void cancel(attempt_id id);
    void release(attempt_id id);
    // Null if the attempt brought no answer or was released.
    [[nodiscard]] answer_ptr find_answer(attempt_id id) const;
    [[nodiscard]] std::size_t running_count() const;

private:
    services chosen;
    std::unordered_map<attempt_id, call_control> running;
    std::unordered_map<attempt_id, answer_ptr> answers;
    std::uint64_t retained_bytes = 0;

    asio::awaitable<void> run(attempt_id id,
                              http_client& client,
                              std::string address,
                              outgoing_request request,
                              duration timeout);
    void finish(attempt_id id, bool is_peer, answer whole);
    void fail(attempt_id id, call_failure failure);
    bool retain(attempt_id id, bool is_peer, answer whole);
    void note_retained();
};

} // namespace plantaintally::drivers
