// Every event that the reducer takes. Drivers turn I/O and time into these.
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

// A whole request, head and body, was read from a listener.
struct request_arrived
{
    exchange_id exchange;
    request_source source = request_source::caller;
    request_head head;
    // From the peer listener only.
    std::optional<hop_context> hop;
};

// The sender of a request closed its connection or cancelled the request.
struct caller_gone
{
    exchange_id exchange;
};

// A whole answer was read. From a peer it carries a report; from the upstream
// it carries none.
struct attempt_answered
{
    attempt_id attempt;
    std::uint32_t status = 0;
    std::optional<hop_report> report;
    // True if the upstream states that it refused without running.
    bool is_upstream_refusal = false;
    // True if another life of the upstream than the wanted one refused it.
    bool is_misdirected = false;
};

// An attempt ended without a whole answer. `is_written` is false only if no
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

// The upstream asks for no new work, or an operator does so for it.
struct upstream_drain_requested
{
};

// The upstream tells which life of it does what, and waits for an answer: see
// answer_report.
struct upstream_reported
{
    report_id report;
    upstream_incarnation life;
    upstream_phase phase = upstream_phase::ready;
    // Unless it is gone.
    upstream_announcement announcement;
};

// The upstream has gone: its local connection or process ended.
struct upstream_gone
{
};

// A hint from the upstream's health endpoint; may be late or wrong.
struct health_hint
{
    bool is_healthy = true;
    std::uint32_t load_permille = 0;
};

// A control message came over the peer link.
struct control_received
{
    control_envelope envelope;
};

// A call on the platform's service ended.
struct store_replied
{
    store_call_id call;
    store_client client = store_client::membership;
    store_result result;
};

// An operator's command, as text, came in by the local listener.
struct operator_command
{
    command_id command;
    std::string text;
};

// The time asked for with wake_at has come, perhaps much too late.
struct timer_fired
{
};

// A planned stop: SIGTERM or an operator's command.
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
                           control_received,
                           store_replied,
                           operator_command,
                           timer_fired,
                           stop_requested>;

} // namespace plantaintally
