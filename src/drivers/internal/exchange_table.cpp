#include "drivers/internal/exchange_table.hpp"

#include <utility>

namespace plantaintally::drivers
{

namespace
{

// Longest wait for a reply; only a safeguard, because the reducer ends every
// exchange earlier.
constexpr duration max_reply_wait = std::chrono::hours(1);

// How long, and how many, requests of callers that have gone are kept.
constexpr auto abandoned_retention = std::chrono::seconds(30);
constexpr std::size_t max_abandoned = 10'000;

} // namespace

exchange_table::exchange_table(asio::any_io_executor const& executor)
    : replies(executor)
{
}

exchange_id exchange_table::open(exchange content)
{
    exchange_id const id{++this->last_id};
    this->exchanges.emplace(id, std::move(content));
    this->replies.open(id);
    return id;
}

exchange const* exchange_table::find(exchange_id id) const
{
    auto const found = this->exchanges.find(id);
    return found == this->exchanges.end() ? nullptr : &found->second;
}

void exchange_table::reply(exchange_id id, exchange_reply content)
{
    this->exchanges.erase(id);
    this->replies.resolve(id, std::move(content));
}

void exchange_table::abandon(exchange_id id)
{
    if (!this->exchanges.contains(id))
    {
        return;
    }
    this->abandoned_queue.push_back({id, std::chrono::steady_clock::now()});
    this->replies.resolve(id, abandoned{});
}

void exchange_table::sweep()
{
    auto const cutoff = std::chrono::steady_clock::now() - abandoned_retention;
    while (!this->abandoned_queue.empty() &&
           (this->abandoned_queue.front().since < cutoff ||
            this->abandoned_queue.size() > max_abandoned))
    {
        this->exchanges.erase(this->abandoned_queue.front().id);
        this->abandoned_queue.pop_front();
    }
}

asio::awaitable<exchange_reply> exchange_table::wait(exchange_id id)
{
    auto content = co_await this->replies.wait(id, max_reply_wait);
    if (!content)
    {
        this->exchanges.erase(id);
        hop_report report;
        report.reason = refusal::deadline_passed;
        constexpr std::uint32_t gateway_timeout = 504;
        co_return refused_answer{
            gateway_timeout,
            "the node made no decision about the request in time",
            report};
    }
    co_return std::move(*content);
}

std::size_t exchange_table::size() const
{
    return this->exchanges.size();
}

} // namespace plantaintally::drivers
