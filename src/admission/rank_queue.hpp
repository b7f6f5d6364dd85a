// Queue of the waiting requests of one rank, with a subqueue for each caller.
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

// The properties of a request that admission depends on.
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

// Order in which the waiting requests of one caller are served.
enum class queue_order
{
    oldest_first,
    // Newest first while the oldest request has waited too long, otherwise
    // oldest first.
    newest_first_when_late
};

// Waiting requests of one rank. Callers are served round-robin.
struct rank_queue
{
    std::uint32_t urgency = 0;
    std::uint32_t worth = 1;
    bool is_protected = false;
    std::map<std::string, std::deque<pending_request>, std::less<>> callers;
    std::string last_served_caller;
    std::size_t size = 0;
    // Fraction of a slot that the rank is owed by its fair share.
    double credit = 0;
};

void push(rank_queue& queue, pending_request request);

// Removes and returns the next request; the queue must not be empty.
pending_request pop(rank_queue& queue, queue_order order, instant now);

// Removes and returns the newest request of the caller with the most waiting
// requests; nullopt if the queue is empty.
std::optional<pending_request> pop_from_longest(rank_queue& queue);

// Number of waiting requests of the caller.
std::size_t queued_count(rank_queue const& queue, std::string_view caller);

// Removes this request; false if it is not waiting.
bool remove(rank_queue& queue, std::string_view caller, exchange_id exchange);

// Removes and returns every request whose deadline is at or before `cutoff`.
std::vector<pending_request> pop_expired(rank_queue& queue, instant cutoff);

// Removes and returns all requests.
std::vector<pending_request> pop_all(rank_queue& queue);

// Earliest deadline among the waiting requests; nullopt if there are none.
std::optional<instant> earliest_deadline(rank_queue const& queue);

} // namespace plantaintally::admission
