// Calls on the platform's key-value service over HTTP.
#pragma once

#include "drivers/dialect.hpp"
#include "drivers/internal/http_client.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

#include <functional>
#include <string>

namespace plantaintally::drivers
{

class platform_client
{
public:
    struct services
    {
        task_scope& tasks;
        counters& figures;
        http_client& client;
        dialect const& spoken;
        std::function<void(event)> hand_in;
        // host:port of the service.
        std::string address;
        // Longest time for a call; a watch's own limit is added.
        duration timeout{};
    };

    explicit platform_client(services wanted);

    // Makes the call; its result comes as store_replied. Failures and late
    // answers give store_unavailable, which leaves open whether a write was
    // made unless nothing was sent.
    void call(call_store const& wanted);

private:
    services chosen;

    asio::awaitable<void> run(call_store wanted);
};

// The HTTP request of a call on the store; `host` is its Host header.
outgoing_request make_store_request(store_request const& wanted,
                                    std::string const& host);

// The result that an HTTP answer stands for.
store_result read_store_answer(store_request const& wanted,
                               answer const& received);

// A key as one path segment, percent-encoded (RFC 3986).
std::string encode_segment(std::string_view key);

} // namespace plantaintally::drivers
