// The events that the reducer handles. Drivers produce them from I/O and
// timers.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "messages/control_message.hpp"
#include "messages/request_types.hpp"
#include "messages/store_types.hpp"

#include <optional>
#include <string>
#include <variant>

namespace plantaintally
{

// A complete request, head and body, was read from a listener.
struct request_arrived
{
    exchange_id exchange;
    request_source source = request_source::caller;
    request_head head;
    // Set only for requests from the peer listener.
    std::optional<hop_context> hop;
};

// The sender of a request closed its connection or cancelled the request.
struct caller_gone
{
    exchange_id exchange;
};

// A complete answer to an attempt was read. `report` is set if the answer came
// from a peer and absent if it came from the upstream.
struct attempt_answered
{
    attempt_id attempt;
    std::uint32_t status = 0;
    std::optional<hop_report> report;
    // True if the upstream states that it refused the request without running
    // it.
    bool is_upstream_refusal = false;
    // True if the upstream refused the request because it was meant for another
    // instance.
    bool is_misdirected = false;
    // True if the upstream may have run the request although callers understand
    // the answer's status as a promise that it did not.
    bool is_misleading = false;
};

// An attempt ended without a complete answer. `is_written` is false only if no
// byte of the request was handed to the connection.
struct attempt_failed
{
    attempt_id attempt;
    attempt_failure failure = attempt_failure::timed_out;
    bool is_written = true;
};

// The upstream beside this node is ready for work.
struct upstream_announced
{
    upstream_announcement announcement;
};

// The upstream, or an operator on its behalf, asks for no new work.
struct upstream_drain_requested
{
};

// The upstream reports its incarnation and phase, and waits for the
// answer_report effect.
struct upstream_reported
{
    report_id report;
    upstream_incarnation life;
    upstream_phase phase = upstream_phase::ready;
    // Not meaningful if `phase` is gone.
    upstream_announcement announcement;
};

// The upstream's local connection or process ended.
struct upstream_gone
{
};

// A hint from the upstream's health endpoint; it may be late or wrong.
struct health_hint
{
    bool is_healthy = true;
    std::uint32_t load_permille = 0;
};

// The result of check_upstream.
struct upstream_checked
{
    upstream_check_id check;
    // The instance that answered that it is healthy and not leaving; empty if
    // none did in time.
    std::string instance;
};

// A control message was received over the peer link.
struct control_received
{
    control_envelope envelope;
};

// A call to the platform's key-value store completed, with or without a
// result.
struct store_replied
{
    store_call_id call;
    store_client client = store_client::membership;
    store_result result;
    // The era that the store states in its answer: it rises each time that the
    // store comes back from an older copy of its data. Zero if not stated.
    std::uint64_t era = 0;
};

// The text of an operator's command was received on the local listener.
struct operator_command
{
    command_id command;
    std::string text;
};

// The time scheduled with wake_at has been reached; delivery may be very late.
struct timer_fired
{
};

// SIGTERM or an operator's command requested a planned stop.
struct stop_requested
{
};

using event = std::variant<request_arrived,
                           caller_gone,
                           attempt_answered,
                           attempt_failed,
                           upstream_announced,
                           upstream_drain_requested,
                           upstream_gone,
                           upstream_reported,
                           health_hint,
                           upstream_checked,
                           control_received,
                           store_replied,
                           operator_command,
                           timer_fired,
                           stop_requested>;

} // namespace plantaintally
