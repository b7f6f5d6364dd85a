// The requests that arrived here and are not answered yet.
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

// Answers of attempts are shared: several exchanges may get the same.
using answer_ptr = std::shared_ptr<answer const>;

// The whole answer of an attempt, for an exchange.
struct passed_answer
{
    answer_ptr content;
    hop_report report;
};

// Nobody is left to answer.
struct abandoned
{
};

using exchange_reply = std::variant<passed_answer, refused_answer, abandoned>;

// A request on its way: what the reducer does not need stays here.
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
    // Null once the exchange is answered.
    [[nodiscard]] exchange const* find(exchange_id id) const;
    // Answers the exchange; it ends when its session has taken the reply.
    void reply(exchange_id id, exchange_reply content);
    // The caller has gone, so that its session ends. The request stays for a
    // while, because an execution that others wait for may still need it.
    void abandon(exchange_id id);
    // Forgets requests that were abandoned long ago; call now and then.
    void sweep();
    // Waits until the reducer answers, or until the exchange is abandoned.
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
    std::deque<abandoned_exchange> left;
    std::unordered_map<exchange_id, exchange> exchanges;
    pending_replies<exchange_id, exchange_reply> replies;
};

} // namespace plantaintally::drivers
