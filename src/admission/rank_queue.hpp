// The waiting requests of one rank, divided by caller.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::admission
{

// A request as admission sees it.
struct pending_request
{
    exchange_id exchange;
    std::string rank;
    std::uint32_t urgency = 0;
    std::uint32_t worth = 1;
    bool is_protected = false;
    std::string caller;
    instant deadline{};
    instant queued_at{};
};

// Which of a caller's waiting requests is served first.
enum class queue_order
{
    oldest_first,
    // The newest first while the oldest has waited long.
    newest_first_when_late
};

// Waiting requests of one rank. Callers are served in turn.
struct rank_queue
{
    std::uint32_t urgency = 0;
    std::uint32_t worth = 1;
    bool is_protected = false;
    std::map<std::string, std::deque<pending_request>, std::less<>> callers;
    std::string last_served;
    std::size_t size = 0;
    // Part of a slot that the rank is owed by its share.
    double credit = 0;
};

void push(rank_queue& queue, pending_request item);

// Takes the next request; the queue must not be empty.
pending_request pop(rank_queue& queue, queue_order order, instant now);

// Takes out the newest request of the caller with the most waiting ones.
std::optional<pending_request> pop_from_longest(rank_queue& queue);

// The number of waiting requests of the caller.
std::size_t waiting_of(rank_queue const& queue, std::string_view caller);

// Takes out this request; false if it is not waiting.
bool remove(rank_queue& queue, std::string_view caller, exchange_id exchange);

// Takes out every request whose deadline does not come after `latest`.
std::vector<pending_request> take_late(rank_queue& queue, instant latest);

// Takes out everything.
std::vector<pending_request> take_all(rank_queue& queue);

// The earliest deadline among the waiting requests.
std::optional<instant> earliest_deadline(rank_queue const& queue);

} // namespace plantaintally::admission
