// Decides which requests run at the upstream beside this node, which wait in a
// queue and which are refused; see docs/ADMISSION.md.
#pragma once

#include "admission/concurrency_limit.hpp"
#include "admission/rank_queue.hpp"
#include "base/verdict.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::admission
{

struct options
{
    // Fraction of the upstream's capacity that is divided among the waiting
    // ranks in proportion to their worth, so that more urgent requests can't
    // starve them.
    double fair_share_fraction = 0.2;
    // Time for which unprotected requests are refused after a protected request
    // was refused for overload.
    duration protected_hold = std::chrono::seconds(1);
    // Maximum queue length of one rank, in requests per slot of the upstream.
    std::uint32_t queued_per_slot = 4;
    queue_order order = queue_order::oldest_first;
};

// Overload of the downstream services that requests of one rank call.
struct downstream_overload
{
    // Moving average of the fraction of requests that fail because a downstream
    // call was refused.
    double failed_fraction = 0;
    // Downstream admission level at the latest of these failures.
    std::uint32_t level = 0;
    instant expires_at{};
};

struct state
{
    options startup_options;
    bool is_open = false;
    concurrency_limit limit;
    std::uint32_t in_flight = 0;
    std::map<std::string, rank_queue, std::less<>> queues;
    std::size_t queued = 0;
    // Lower bound of the deadlines of all waiting requests.
    instant earliest_deadline = instant::max();
    // Unprotected requests are refused until this time.
    instant unprotected_closed_until{};
    // By rank.
    std::map<std::string, downstream_overload, std::less<>> downstream;
};

// A waiting request that was refused, and the reason.
struct refused_request
{
    pending_request item;
    refusal reason = refusal::overload;
};

enum class offer_kind
{
    admitted,
    queued,
    refused
};

struct offer_result
{
    offer_kind kind = offer_kind::refused;
    refusal reason = refusal::overload;
    duration retry_after{};
    // Waiting requests that were shed to make room for the offered one.
    std::vector<refused_request> shed;
};

// Starts to admit requests to an upstream with this many slots. The limit is
// reset; `cold_start` is the time until a new upstream reaches full speed.
void open(state& admission,
          std::uint32_t slots,
          duration cold_start,
          instant now);

// Stops admitting requests. Removes and returns all waiting requests; running
// ones stay in `in_flight` until they finish.
std::vector<refused_request> close(state& admission);

// Admits, queues or refuses a request. An admitted request is counted in
// `in_flight`.
offer_result offer(state& admission, pending_request request, instant now);

// Dequeues the next waiting request if a slot is free, and counts it in
// `in_flight`.
std::optional<pending_request> take_next(state& admission, instant now);

// Removes the waiting requests that can no longer finish before their deadline.
// If one of them is protected, all waiting unprotected requests are removed as
// well and precede it in the result.
std::vector<refused_request> take_expired(state& admission, instant now);

// Removes a waiting request whose caller has disconnected; false if it is not
// waiting.
bool cancel(state& admission,
            std::string_view rank,
            std::string_view caller,
            exchange_id exchange);

// Records that a request has left the upstream, and frees its slot.
void finish(state& admission,
            std::string_view rank,
            load_sample const& sample,
            instant now);

// Records the outcome of an answered request of the rank. `failed_downstream`
// is true if it failed because a downstream call was refused at admission level
// `level`.
void note_answer(state& admission,
                 std::string_view rank,
                 bool failed_downstream,
                 std::uint32_t level,
                 instant now);

// Lowest urgency at which requests of this rank are admitted by this node and
// by the downstream services that they call.
std::uint32_t
admission_level(state const& admission, std::string_view rank, instant now);

// Number of running and waiting requests, in thousandths of the advertised
// limit; zero while closed.
std::uint32_t load_permille(state const& admission, instant now);

// Time at which the queues have to be checked for expired requests again;
// nullopt if no request waits.
std::optional<instant> next_wakeup(state const& admission, instant now);

// Time that a refused caller should wait before it tries again.
duration suggested_retry_delay(state const& admission);

} // namespace plantaintally::admission
