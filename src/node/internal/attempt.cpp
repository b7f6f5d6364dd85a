#include "node/internal/request_path.hpp"

#include "retry/budget.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

constexpr std::uint32_t unavailable_status = 503;
constexpr std::uint32_t first_server_error = 500;
// Number of refusals by the upstream after which this node refuses the request
// as well.
constexpr std::uint32_t max_upstream_refusals = 2;

refusal reason_of(attempt_failure failure)
{
    switch (failure)
    {
    case attempt_failure::incomplete_answer:
    case attempt_failure::malformed_answer:
        return refusal::incomplete_answer;
    case attempt_failure::timed_out:
        return refusal::deadline_passed;
    default:
        return refusal::attempt_failed;
    }
}

// Result label of an attempt at the local upstream, for the metrics.
std::string_view to_string(admission::sample_kind kind)
{
    switch (kind)
    {
    case admission::sample_kind::completed:
        return "answered";
    case admission::sample_kind::refused:
        return "refused";
    case admission::sample_kind::timed_out:
        return "timed-out";
    case admission::sample_kind::ignored:
        return "failed";
    }
    return "failed";
}

admission::load_sample make_sample(exchange const& request,
                                   running_attempt const& attempt,
                                   admission::sample_kind kind,
                                   instant now)
{
    admission::load_sample sample;
    sample.kind = kind;
    sample.total = now - attempt.started;
    duration waited = request.downstream.waited;
    if (request.downstream.open > 0)
    {
        waited += now - request.downstream.open_since;
    }
    sample.own_time = std::max(sample.total - waited, duration::zero());
    return sample;
}

void finish_upstream_attempt(state& node,
                             exchange const& request,
                             running_attempt const& attempt,
                             admission::sample_kind kind,
                             step& current)
{
    add(node.request_latencies,
        {latency_place::upstream,
         request.hop.rank,
         std::string(to_string(kind))},
        current.now.monotonic - attempt.started);
    if (!node.startup_options.is_policy_enabled)
    {
        return;
    }
    instant const now = current.now.monotonic;
    admission::finish(node.admission,
                      request.hop.rank,
                      make_sample(request, attempt, kind, now),
                      now);
}

attempt_result upstream_result(exchange const& request,
                               attempt_answered const& answered)
{
    attempt_result result;
    result.status = answered.status;
    if (answered.is_misdirected)
    {
        result.reason = refusal::draining;
        result.detail = "another upstream instance now uses the address";
        return result;
    }
    if (answered.is_upstream_refusal)
    {
        result.reason = refusal::overload;
        result.detail = "the upstream refused the request without executing it";
        return result;
    }
    if (answered.is_misleading && !is_repeatable(request))
    {
        // The caller would repeat a request that must not run twice.
        result.outcome = verdict::may_have_run;
        result.reason = refusal::attempt_failed;
        result.detail = "the upstream's status denies a possible execution";
        return result;
    }
    result.answer = answered.attempt;
    result.owns_answer = true;
    result.outcome = answered.status == unavailable_status
                         ? verdict::may_have_run
                         : verdict::ran;
    return result;
}

// The upstream refused the request without executing it, since the concurrency
// limit was too high. Offers the request to admission again if that is allowed;
// returns false otherwise.
bool requeue(state& node,
             exchange& request,
             attempt_answered const& answered,
             step& current)
{
    bool const may_requeue =
        node.startup_options.is_policy_enabled &&
        answered.is_upstream_refusal && !request.hop.route &&
        !request.downstream.is_refused && !request.is_answered &&
        request.upstream_refusals < max_upstream_refusals &&
        fold_verdict(request, verdict::not_run) == verdict::not_run;
    if (!may_requeue)
    {
        return false;
    }
    ++request.upstream_refusals;
    record(current, request.head.trace_id, "admission", "requeued", {});
    admit_locally(node, request, current);
    return true;
}

void handle_upstream_answer(state& node,
                            exchange& request,
                            running_attempt const& attempt,
                            attempt_answered const& answered,
                            step& current)
{
    bool const is_refused =
        answered.is_upstream_refusal || answered.status == unavailable_status;
    bool const is_downstream_refusal = request.downstream.is_refused;
    auto kind = admission::sample_kind::completed;
    if (is_refused)
    {
        kind = is_downstream_refusal ? admission::sample_kind::ignored
                                     : admission::sample_kind::refused;
    }
    finish_upstream_attempt(node, request, attempt, kind, current);
    attempt_result result = upstream_result(request, answered);
    // The calls of an upstream don't name the request that they belong to, so a
    // call that failed while this request ran is taken for one of its own.
    result.lacks_capacity = answered.status >= first_server_error &&
                            result.answer &&
                            node.last_call_without_capacity >= attempt.started;
    admission::note_answer(node.admission,
                           request.hop.rank,
                           was_shed_downstream(request, result),
                           request.downstream.refused_level,
                           current.now.monotonic);
    bool const has_run =
        !answered.is_upstream_refusal && !answered.is_misdirected;
    request.executions -= has_run ? 0 : 1;
    if (!result.answer)
    {
        current.out.push_back(release_attempt{answered.attempt});
    }
    if (answered.is_misdirected)
    {
        note_upstream_lost(node, "upstream-replaced", current);
    }
    if (requeue(node, request, answered, current))
    {
        return;
    }
    result.is_repeat_granted =
        answered.is_upstream_refusal && grants_retry_permits(node) &&
        retry::take_permit(node.retry_permits, request.hop.urgency);
    retry_or_conclude(node, request, result, current);
}

void note_peer_report(state& node,
                      exchange& request,
                      running_attempt const& attempt,
                      hop_report const& report,
                      step& current)
{
    timeline::advance(node.clock, current.now.wall, report.sent_at);
    routing::note_report(node.routing,
                         attempt.peer,
                         request.hop.rank,
                         report,
                         node.random,
                         current.now.monotonic);
    if (report.is_draining)
    {
        membership::note_draining(node.membership, attempt.peer, current);
    }
    request.executions += report.attempts;
    request.has_reached_upstream =
        request.has_reached_upstream || report.has_reached_upstream;
    request.retries_left +=
        retry::returned_budget(attempt.passed_retries, report.retries_left);
}

// The reason with which a request fails here that a peer has refused. The
// request was valid when it entered the fleet, so a peer that can't read it has
// failed, and the caller has made no mistake.
refusal reason_at_sender(refusal stated)
{
    bool const is_about_input = stated == refusal::bad_request ||
                                stated == refusal::too_large ||
                                stated == refusal::no_route;
    return is_about_input ? refusal::attempt_failed : stated;
}

void handle_peer_answer(state& node,
                        exchange& request,
                        running_attempt const& attempt,
                        attempt_answered const& answered,
                        step& current)
{
    hop_report const& report = *answered.report;
    note_peer_report(node, request, attempt, report, current);
    attempt_result result;
    result.outcome = report.outcome;
    result.status = answered.status;
    result.retry_after = report.retry_after;
    result.lacks_capacity = report.lacks_capacity;
    if (!report.reason)
    {
        result.answer = answered.attempt;
        result.owns_answer = true;
        return retry_or_conclude(node, request, result, current);
    }
    result.reason = reason_at_sender(*report.reason);
    result.detail = "refused by " + attempt.peer;
    if (result.reason != report.reason)
    {
        result.detail += " as " + std::string(to_string(*report.reason));
    }
    result.is_undelivered = !report.has_reached_upstream;
    result.is_peer_verdict = true;
    result.level = report.admission_level;
    result.is_repeat_granted = report.is_repeat_granted;
    request.tried.push_back(attempt.peer);
    if (report.reason == refusal::not_key_home)
    {
        request.key_home = report.key_home;
    }
    current.out.push_back(release_attempt{answered.attempt});
    retry_or_conclude(node, request, result, current);
}

void note_peer_failure(state& node,
                       exchange& request,
                       running_attempt const& attempt,
                       attempt_failure failure,
                       step& current)
{
    if (failure == attempt_failure::cancelled ||
        failure == attempt_failure::connection_limit)
    {
        return routing::note_cancelled(node.routing, attempt.peer);
    }
    auto const members =
        membership::members_of(node.membership, request.head.service);
    routing::note_failure(node.routing,
                          attempt.peer,
                          members,
                          node.random,
                          current.now.monotonic);
    request.tried.push_back(attempt.peer);
}

void note_failed_attempt(state& node,
                         exchange& request,
                         running_attempt const& attempt,
                         attempt_failed const& failed,
                         step& current)
{
    if (!attempt.peer.empty())
    {
        request.executions += failed.is_written ? 1 : 0;
        return note_peer_failure(
            node, request, attempt, failed.failure, current);
    }
    request.executions -= failed.is_written ? 0 : 1;
    if (failed.failure == attempt_failure::connect_refused)
    {
        note_upstream_lost(node, "upstream-unreachable", current);
    }
    bool const is_timeout = failed.failure == attempt_failure::timed_out;
    finish_upstream_attempt(node,
                            request,
                            attempt,
                            is_timeout ? admission::sample_kind::timed_out
                                       : admission::sample_kind::ignored,
                            current);
    request.tried.push_back(node.startup_options.self.address);
}

} // namespace

running_attempt remove_current_attempt(state& node, exchange& request)
{
    running_attempt attempt = std::move(*request.current_attempt);
    request.current_attempt.reset();
    node.table.by_attempt.erase(attempt.id);
    if (!attempt.peer.empty())
    {
        return attempt;
    }
    auto const [first, last] =
        node.table.by_trace.equal_range(request.head.trace_id);
    for (auto entry = first; entry != last; ++entry)
    {
        if (entry->second == request.id)
        {
            node.table.by_trace.erase(entry);
            break;
        }
    }
    return attempt;
}

void handle_answer(state& node, attempt_answered const& answered, step& current)
{
    exchange* request = find(node.table, answered.attempt);
    if (request == nullptr)
    {
        current.out.push_back(release_attempt{answered.attempt});
        return;
    }
    running_attempt const attempt = remove_current_attempt(node, *request);
    if (attempt.peer.empty())
    {
        return handle_upstream_answer(
            node, *request, attempt, answered, current);
    }
    if (answered.report)
    {
        return handle_peer_answer(node, *request, attempt, answered, current);
    }
    current.out.push_back(release_attempt{answered.attempt});
    attempt_failed malformed;
    malformed.attempt = answered.attempt;
    malformed.failure = attempt_failure::malformed_answer;
    note_failed_attempt(node, *request, attempt, malformed, current);
    attempt_result result;
    result.outcome = verdict::may_have_run;
    result.reason = refusal::incomplete_answer;
    result.detail = "the answer of the peer has no hop report";
    retry_or_conclude(node, *request, result, current);
}

void handle_failure(state& node, attempt_failed const& failed, step& current)
{
    exchange* request = find(node.table, failed.attempt);
    if (request == nullptr)
    {
        return;
    }
    running_attempt const attempt = remove_current_attempt(node, *request);
    note_failed_attempt(node, *request, attempt, failed, current);
    attempt_result result;
    result.outcome =
        failed.is_written ? verdict::may_have_run : verdict::not_run;
    result.reason = reason_of(failed.failure);
    result.is_undelivered = !failed.is_written;
    result.detail = to_string(failed.failure);
    record(current,
           request->head.trace_id,
           "node",
           "attempt-failed",
           "attempt=" + std::to_string(failed.attempt.value) +
               " failure=" + result.detail);
    retry_or_conclude(node, *request, result, current);
}

} // namespace plantaintally::node
