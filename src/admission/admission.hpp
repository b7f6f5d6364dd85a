// Which requests run at the upstream beside this node, which wait, and which
// are refused; see docs/ADMISSION.md.
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
    // Share of the upstream's capacity that the waiting ranks keep, divided by
    // their worth, however much more urgent work arrives.
    double fair_share_fraction = 0.2;
    // After a protected request was refused for overload, no unprotected one
    // is admitted for this long.
    duration protected_hold = std::chrono::seconds(1);
    // Longest queue of one rank, in requests for each slot of the upstream.
    std::uint32_t queued_per_slot = 4;
    queue_order order = queue_order::oldest_first;
};

// Outcomes of the requests of a rank, for the subtree's level.
struct doomed_share
{
    double value = 0;
    std::uint32_t level = 0;
    instant expires{};
};

struct state
{
    options own;
    bool is_open = false;
    concurrency_limit limit;
    std::uint32_t in_flight = 0;
    std::map<std::string, rank_queue, std::less<>> queues;
    std::size_t queued = 0;
    // No waiting request has an earlier deadline than this.
    instant earliest_deadline = instant::max();
    // Unprotected requests are refused until then.
    instant unprotected_closed_until{};
    std::map<std::string, doomed_share, std::less<>> doomed;
};

// A request that was refused, and why.
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
    // Waiting requests that were shed for this one.
    std::vector<refused_request> shed;
};

// The upstream is ready with this many slots.
void open(state& admission,
          std::uint32_t slots,
          duration cold_start,
          instant now);

// The upstream takes no more work: everything that waits is taken out. What
// runs stays counted.
std::vector<refused_request> close(state& admission);

// Admits, queues or refuses a request. An admitted one counts as running.
offer_result offer(state& admission, pending_request item, instant now);

// Takes the next waiting request if one may run now; it counts as running.
std::optional<pending_request> take_next(state& admission, instant now);

// Takes out the waiting requests that can't finish before their deadline any
// more; if a protected one is among them, every unprotected one before it.
std::vector<refused_request> take_expired(state& admission, instant now);

// Takes a waiting request out because its caller is gone.
bool cancel(state& admission,
            std::string_view rank,
            std::string_view caller,
            exchange_id exchange);

// A running request has left the upstream.
void finish(state& admission,
            std::string_view rank,
            load_sample const& sample,
            instant now);

// A request of the rank was answered; it is doomed if a downstream call that
// was refused at `level` made it fail.
void note_answer(state& admission,
                 std::string_view rank,
                 bool is_doomed,
                 std::uint32_t level,
                 instant now);

// The lowest urgency admitted for requests of this rank here and below.
std::uint32_t
admission_level(state const& admission, std::string_view rank, instant now);

// Running and waiting requests in thousandths of the limit.
std::uint32_t load_permille(state const& admission, instant now);

// When take_expired or take_next may have something to do.
std::optional<instant> next_deadline(state const& admission, instant now);

// Time after which a refused caller may try again.
duration suggested_retry_delay(state const& admission);

} // namespace plantaintally::admission
