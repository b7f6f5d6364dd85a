// Every effect that the reducer asks for. Drivers carry them out in order.
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

// Send the exchange's request to another node's peer listener.
struct forward_request
{
    attempt_id attempt;
    exchange_id exchange;
    std::string peer_address;
    hop_context hop;
    // The head as the next node shall see it: trace id, key, caller, time left.
    request_head head;
    duration timeout{};
};

// Send the exchange's request to the upstream beside this node.
struct dispatch_request
{
    attempt_id attempt;
    exchange_id exchange;
    std::string upstream_address;
    std::string trace_id;
    // The service whose upstream or callers sent the request.
    std::string caller;
    // The life of the upstream that shall run it; empty: any.
    std::string instance;
    duration time_left{};
    duration timeout{};
};

// Give up an attempt. The driver closes or cancels it and reports the end with
// attempt_failed, unless it had already reported another end.
struct cancel_attempt
{
    attempt_id attempt;
};

// Answer the exchange with the whole answer that the attempt brought. The
// answer stays available until release_attempt.
struct answer_from_attempt
{
    exchange_id exchange;
    attempt_id attempt;
    hop_report report;
};

// Answer the exchange with a refusal: a problem body and the true verdict.
struct refuse_request
{
    exchange_id exchange;
    std::uint32_t status = 503;
    std::string detail;
    hop_report report;
};

// The answer of this attempt is needed no more.
struct release_attempt
{
    attempt_id attempt;
};

// Send a control message to the peer listener at this address; best effort.
struct send_control
{
    std::string address;
    control_message message;
};

// Call the platform's service; the result comes back as store_replied.
struct call_store
{
    store_call_id call;
    store_client client = store_client::membership;
    store_request request;
    duration timeout{};
};

// Answer a report of the upstream. Not accepted: it should report again.
struct answer_report
{
    report_id report;
    bool is_accepted = true;
};

// Whether this node tells its callers' side that it takes work.
struct tell_readiness
{
    bool is_ready = false;
};

// From now on callers are held to these limits; zero fields: the settings'.
struct limit_callers
{
    routes::caller_limits limits;
};

// Answer an operator's command.
struct answer_operator
{
    command_id command;
    // "ok", "conflict", "refused", "unknown", "invalid", "partial".
    std::string status;
    std::string message;
    answer_table table;
};

// Hand in timer_fired at this time; replaces the time asked for before.
struct wake_at
{
    instant when{};
};

// Tell the upstream beside this node to finish its work and accept no more.
struct drain_upstream
{
};

// Keep up to this many idle connections to the upstream open before use.
struct warm_connections
{
    std::string upstream_address;
    std::uint32_t count = 0;
    std::uint32_t limit = 0;
};

// Put an entry into this node's time line.
struct record_entry
{
    timeline_entry entry;
};

// Everything in flight is finished: end the process with exit code 0.
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
                            call_store,
                            answer_report,
                            tell_readiness,
                            limit_callers,
                            answer_operator,
                            wake_at,
                            drain_upstream,
                            warm_connections,
                            record_entry,
                            exit_process>;

using effects = std::vector<effect>;

} // namespace plantaintally
