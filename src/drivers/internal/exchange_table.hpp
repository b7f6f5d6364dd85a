// Requests that this node has received and not yet answered.
#pragma once

#include "drivers/internal/arrival.hpp"
#include "drivers/internal/pending_replies.hpp"
#include "messages/effects.hpp"

#include <chrono>
#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

namespace plantaintally::drivers
{

// Shared because several exchanges may get the same response.
using answer_ptr = std::shared_ptr<answer const>;

// An attempt's response to be sent to the caller of an exchange.
struct forwarded_answer
{
    answer_ptr content;
    hop_report report;
};

// The caller has closed its connection; no response is sent.
struct abandoned
{
};

using exchange_reply =
    std::variant<forwarded_answer, refused_answer, abandoned>;

// The parts of a request that are kept outside the reducer until the request is
// answered.
struct exchange
{
    request_head head;
    std::vector<header_field> forwarded_headers;
    std::shared_ptr<std::string const> body;
};

class exchange_table
{
public:
    explicit exchange_table(asio::any_io_executor const& executor);

    exchange_id open(exchange content);
    // Returns null once the exchange is answered.
    [[nodiscard]] exchange const* find(exchange_id id) const;
    // Answers the exchange and drops its request; the waiting session gets the
    // reply.
    void reply(exchange_id id, exchange_reply content);
    // Ends the wait of the session because its caller has gone. The request is
    // kept for a while, because other callers may be waiting for the same
    // execution.
    void abandon(exchange_id id);
    // Drops requests that were abandoned long ago; call periodically.
    void sweep();
    // Waits until the reducer answers or the exchange is abandoned.
    asio::awaitable<exchange_reply> wait(exchange_id id);
    [[nodiscard]] std::size_t size() const;

private:
    struct abandoned_exchange
    {
        exchange_id id;
        std::chrono::steady_clock::time_point since;
    };

    std::uint64_t last_id = 0;
    // Oldest first.
    std::deque<abandoned_exchange> abandoned_queue;
    std::unordered_map<exchange_id, exchange> exchanges;
    pending_replies<exchange_id, exchange_reply> replies;
};

} // namespace plantaintally::drivers
