// The types that describe requests, upstreams and answers to operators, as
// JSON.
#pragma once

#include "codec/internal/base_json.hpp"
#include "messages/request_types.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_ENUM(verdict, "ran", "not-run", "may-have-run")
PLANTAINTALLY_ENUM(refusal,
                   "overload",
                   "shed-at-source",
                   "deadline-unreachable",
                   "deadline-passed",
                   "draining",
                   "no-upstream",
                   "queue-full",
                   "budget-exhausted",
                   "key-history-unknown",
                   "key-too-old",
                   "key-table-full",
                   "key-home-fenced",
                   "not-key-home",
                   "attempt-failed",
                   "incomplete-answer",
                   "bad-request",
                   "too-large",
                   "caller-gone",
                   "no-route")
PLANTAINTALLY_ENUM(request_source, "caller", "peer", "local")
PLANTAINTALLY_ENUM(attempt_failure,
                   "connect-refused",
                   "connection-limit",
                   "closed-before-write",
                   "closed-after-write",
                   "timed-out",
                   "incomplete-answer",
                   "malformed-answer",
                   "cancelled")
PLANTAINTALLY_JSON(request_head,
                   "request_head",
                   trace_id,
                   host,
                   service,
                   method,
                   target,
                   idempotency_key,
                   caller,
                   time_left,
                   body_bytes,
                   is_from_own_host)
PLANTAINTALLY_ENUM(upstream_phase, "ready", "draining", "gone")
PLANTAINTALLY_JSON(
    upstream_incarnation, "upstream_life", instance, born_ms, sequence)
PLANTAINTALLY_JSON(route_terms, "route_terms", is_repeatable, aim_left)
PLANTAINTALLY_JSON(hop_context,
                   "hop_context",
                   service,
                   rank,
                   urgency,
                   retries_left,
                   depth,
                   to_key_home,
                   is_delegated,
                   is_probe,
                   is_repeat,
                   route,
                   sent_at)
PLANTAINTALLY_JSON(hop_report,
                   "hop_report",
                   outcome,
                   reason,
                   has_reached_upstream,
                   attempts,
                   retries_left,
                   admission_level,
                   load_permille,
                   is_draining,
                   lacks_capacity,
                   is_repeat_granted,
                   key_home,
                   retry_after,
                   sent_at)
PLANTAINTALLY_JSON(upstream_announcement,
                   "upstream_announcement",
                   service,
                   address,
                   slots,
                   connections,
                   cold_start,
                   instance)
PLANTAINTALLY_JSON(answer_table, "answer_table", columns, rows)

} // namespace plantaintally::codec
