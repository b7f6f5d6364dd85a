// Replies that coroutines wait for, by id.
#pragma once

#include "base/moment.hpp"
#include "drivers/http.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

namespace plantaintally::drivers
{

template <class Id, class Reply>
class pending_replies
{
public:
    explicit pending_replies(asio::any_io_executor executor)
        : task_executor(std::move(executor))
    {
    }

    void open(Id id)
    {
        this->entries.try_emplace(id, this->task_executor);
    }

    // Completes the wait for this id. Returns false if there is no such entry
    // or it already has a reply.
    bool resolve(Id id, Reply reply)
    {
        auto const found = this->entries.find(id);
        if (found == this->entries.end() || found->second.reply)
        {
            return false;
        }
        found->second.reply = std::move(reply);
        found->second.signal.cancel();
        return true;
    }

    // Waits for the reply and removes the entry. Returns nothing if no reply
    // arrives in time or the id is unknown.
    asio::awaitable<std::optional<Reply>> wait(Id id, duration time_left)
    {
        auto const found = this->entries.find(id);
        if (found == this->entries.end())
        {
            co_return std::nullopt;
        }
        auto& awaited = found->second;
        if (!awaited.reply)
        {
            error_code ignored;
            awaited.signal.expires_after(time_left);
            co_await awaited.signal.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        auto reply = std::move(awaited.reply);
        this->entries.erase(id);
        co_return reply;
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct entry
    {
        explicit entry(asio::any_io_executor const& executor) : signal(executor)
        {
        }

        asio::steady_timer signal;
        std::optional<Reply> reply;
    };

    asio::any_io_executor task_executor;
    std::unordered_map<Id, entry> entries;
};

} // namespace plantaintally::drivers
