// The effects that the reducer emits. Drivers carry them out in order.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "messages/control_message.hpp"
#include "messages/request_types.hpp"
#include "messages/store_types.hpp"
#include "routes/route_table.hpp"
#include "timeline/timeline_entry.hpp"

#include <string>
#include <variant>
#include <vector>

namespace plantaintally
{

// Forwards the exchange's request to another node's peer listener.
struct forward_request
{
    attempt_id attempt;
    exchange_id exchange;
    std::string peer_address;
    hop_context hop;
    // The request head to send, with the trace id, idempotency key, caller and
    // remaining time for the next node.
    request_head head;
    duration timeout{};
};

// Sends the exchange's request to the upstream beside this node.
struct dispatch_request
{
    attempt_id attempt;
    exchange_id exchange;
    std::string upstream_address;
    std::string trace_id;
    // The calling service, or the remote IP of an outside caller; see
    // request_head::caller.
    std::string caller;
    // The upstream instance that has to run the request; empty accepts any.
    std::string instance;
    duration time_left{};
    duration timeout{};
};

// Cancels an attempt. The driver closes its connection or stream and reports
// attempt_failed, unless it has already reported the attempt's result.
struct cancel_attempt
{
    attempt_id attempt;
};

// Answers the exchange with the complete answer to the attempt. The driver
// retains the answer until release_attempt.
struct answer_from_attempt
{
    exchange_id exchange;
    attempt_id attempt;
    hop_report report;
};

// Answers the exchange with a refusal: a problem body and the verdict in
// `report`.
struct refuse_request
{
    exchange_id exchange;
    std::uint32_t status = 503;
    std::string detail;
    hop_report report;
};

// Lets the driver discard the answer to this attempt.
struct release_attempt
{
    attempt_id attempt;
};

// Sends a control message to the peer listener at this address, best effort.
struct send_control
{
    std::string address;
    control_message message;
};

// Moves the control link to this address, if it is open, to a new connection
// once that is established. The open connection may lead to a former process at
// the address and take messages without delivering them.
struct renew_link
{
    std::string address;
};

// Calls the platform's key-value store; store_replied returns the result.
struct call_store
{
    store_call_id call;
    store_client client = store_client::membership;
    store_request request;
    duration timeout{};
};

// Answers an upstream's report. If it is not accepted, the upstream should
// report again.
struct answer_report
{
    report_id report;
    bool is_accepted = true;
};

// Sets the state that the readiness endpoint reports.
struct tell_readiness
{
    bool is_ready = false;
};

// Replaces the limits on callers. A zero field selects the limit from the
// node's settings.
struct limit_callers
{
    routes::caller_limits limits;
};

// Answers an operator's command.
struct answer_operator
{
    command_id command;
    // One of "ok", "conflict", "refused", "unknown", "invalid" and "partial".
    std::string status;
    std::string message;
    answer_table table;
};

// Schedules timer_fired for this time and replaces the previous schedule.
struct wake_at
{
    instant when{};
};

// Tells the upstream beside this node to finish its work and accept no more.
struct drain_upstream
{
};

// Health checks that are made at the same time at most.
inline constexpr std::uint32_t max_concurrent_checks = 4;

// Asks the health endpoint at this address, over a new connection, which
// upstream serves there; upstream_checked returns the result. Health checks are
// priced.
struct check_upstream
{
    upstream_check_id check;
    std::string address;
    std::string path;
    duration timeout{};
};

// Opens connections to the upstream in advance: keeps at least `count` of them
// open, and at most `limit`.
struct warm_connections
{
    std::string upstream_address;
    std::uint32_t count = 0;
    std::uint32_t limit = 0;
};

// Appends an entry to this node's time line.
struct record_entry
{
    timeline_entry entry;
};

// Ends the process with exit code 0; emitted at the end of a planned stop.
struct exit_process
{
};

using effect = std::variant<forward_request,
                            dispatch_request,
                            cancel_attempt,
                            answer_from_attempt,
                            refuse_request,
                            release_attempt,
                            send_control,
                            renew_link,
                            call_store,
                            answer_report,
                            tell_readiness,
                            limit_callers,
                            answer_operator,
                            wake_at,
                            drain_upstream,
                            check_upstream,
                            warm_connections,
                            record_entry,
                            exit_process>;

using effects = std::vector<effect>;

} // namespace plantaintally
