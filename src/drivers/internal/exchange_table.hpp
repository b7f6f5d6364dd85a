// The requests that arrived here and are not answered yet.
#pragma once

#include "drivers/internal/arrival.hpp"
#include "drivers/internal/pending_replies.hpp"
#include "messages/effects.hpp"

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

// A refusal of this node.
struct refused_answer
{
    std::uint32_t status = 503;
    std::string detail;
    hop_report report;
};

using exchange_reply = std::variant<passed_answer, refused_answer>;

// A request on its way: what the reducer does not need stays here.
struct exchange
{
    request_head head;
    std::vector<header_field> passed_headers;
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
    // Waits until the reducer answers, however long it takes.
    asio::awaitable<exchange_reply> wait(exchange_id id);
    [[nodiscard]] std::size_t size() const;

private:
    std::uint64_t last_id = 0;
    std::unordered_map<exchange_id, exchange> exchanges;
    pending_replies<exchange_id, exchange_reply> replies;
};

} // namespace plantaintally::drivers
