// Events and effects of the reducer as JSON.
#pragma once

#include "codec/internal/control_json.hpp"
#include "codec/internal/store_json.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_JSON(
    request_arrived, "request_arrived", exchange, source, head, hop)
PLANTAINTALLY_JSON(caller_gone, "caller_gone", exchange)
PLANTAINTALLY_JSON(attempt_answered,
                   "attempt_answered",
                   attempt,
                   status,
                   report,
                   is_upstream_refusal,
                   is_misdirected,
                   is_misleading)
PLANTAINTALLY_JSON(
    attempt_failed, "attempt_failed", attempt, failure, is_written)
PLANTAINTALLY_JSON(upstream_announced, "upstream_announced", announcement)
PLANTAINTALLY_JSON_EMPTY(upstream_drain_requested, "upstream_drain_requested")
PLANTAINTALLY_JSON_EMPTY(upstream_gone, "upstream_gone")
PLANTAINTALLY_JSON(
    upstream_reported, "upstream_reported", report, life, phase, announcement)
PLANTAINTALLY_JSON(health_hint, "health_hint", is_healthy, load_permille)
PLANTAINTALLY_JSON(upstream_checked, "upstream_checked", check, instance)
PLANTAINTALLY_JSON(control_received, "control_received", envelope)
PLANTAINTALLY_JSON(store_replied, "store_replied", call, client, result, era)
PLANTAINTALLY_JSON(operator_command, "operator_command", command, text)
PLANTAINTALLY_JSON_EMPTY(timer_fired, "timer_fired")
PLANTAINTALLY_JSON_EMPTY(stop_requested, "stop_requested")

PLANTAINTALLY_JSON(forward_request,
                   "forward_request",
                   attempt,
                   exchange,
                   peer_address,
                   hop,
                   head,
                   timeout)
PLANTAINTALLY_JSON(dispatch_request,
                   "dispatch_request",
                   attempt,
                   exchange,
                   upstream_address,
                   trace_id,
                   caller,
                   instance,
                   time_left,
                   timeout)
PLANTAINTALLY_JSON(cancel_attempt, "cancel_attempt", attempt)
PLANTAINTALLY_JSON(
    answer_from_attempt, "answer_from_attempt", exchange, attempt, report)
PLANTAINTALLY_JSON(
    refuse_request, "refuse_request", exchange, status, detail, report)
PLANTAINTALLY_JSON(release_attempt, "release_attempt", attempt)
PLANTAINTALLY_JSON(send_control, "send_control", address, message)
PLANTAINTALLY_JSON(renew_link, "renew_link", address)
PLANTAINTALLY_JSON(call_store, "call_store", call, client, request, timeout)
PLANTAINTALLY_JSON(tell_readiness, "tell_readiness", is_ready)
PLANTAINTALLY_JSON(limit_callers, "limit_callers", limits)
PLANTAINTALLY_JSON(answer_report, "answer_report", report, is_accepted)
PLANTAINTALLY_JSON(
    answer_operator, "answer_operator", command, status, message, table)
PLANTAINTALLY_JSON(wake_at, "wake_at", when)
PLANTAINTALLY_JSON_EMPTY(drain_upstream, "drain_upstream")
PLANTAINTALLY_JSON(
    check_upstream, "check_upstream", check, address, path, timeout)
PLANTAINTALLY_JSON(
    warm_connections, "warm_connections", upstream_address, count, limit)
PLANTAINTALLY_JSON(
    timeline_entry, "timeline_entry", at, trace_id, subject, kind, detail)
PLANTAINTALLY_JSON(record_entry, "record_entry", entry)
PLANTAINTALLY_JSON_EMPTY(exit_process, "exit_process")

} // namespace plantaintally::codec
