// Calls the platform's key-value store over HTTP.
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
        counters& driver_metrics;
        http_client& client;
        dialect const& external_dialect;
        std::function<void(event)> submit_event;
        // host:port of the store.
        std::string address;
        // Timeout of a call; the wait time of a watch is added to it.
        duration timeout{};
    };

    explicit platform_client(services required);

    // Starts the call; its result is submitted as store_replied. A failure or
    // timeout results in store_unavailable, which states that a write may have
    // been made unless nothing was sent.
    void call(call_store const& store_call);

private:
    services dependencies;

    asio::awaitable<void> run(call_store store_call);
};

// Builds the HTTP request for a store call; `host` becomes the Host header.
outgoing_request make_store_request(store_request const& store_call,
                                    std::string const& host);

// Converts the store's HTTP response to a result.
store_result read_store_answer(store_request const& store_call,
                               answer const& received);

// Percent-encodes a key as one path segment (RFC 3986).
std::string encode_segment(std::string_view key);

} // namespace plantaintally::drivers
