#include "node/internal/request_path.hpp"

#include "retry/budget.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

constexpr std::uint32_t unavailable_status = 503;
// Refusals of the upstream after which a request is refused by its node too.
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

std::string_view to_string(attempt_failure failure)
{
    switch (failure)
    {
    case attempt_failure::connect_refused:
        return "connect-refused";
    case attempt_failure::connection_limit:
        return "connection-limit";
    case attempt_failure::closed_before_write:
        return "closed-before-write";
    case attempt_failure::closed_after_write:
        return "closed-after-write";
    case attempt_failure::timed_out:
        return "timed-out";
    case attempt_failure::incomplete_answer:
        return "incomplete-answer";
    case attempt_failure::malformed_answer:
        return "malformed-answer";
    case attempt_failure::cancelled:
        return "cancelled";
    }
    return "cancelled";
}

// How an attempt at the own upstream ended, for the metrics.
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

admission::load_sample make_sample(exchange const& item,
                                   sending const& sent,
                                   admission::sample_kind kind,
                                   instant now)
{
    admission::load_sample sample;
    sample.kind = kind;
    sample.total = now - sent.started;
    duration waited = item.downstream.waited;
    if (item.downstream.open > 0)
    {
        waited += now - item.downstream.open_since;
    }
    sample.own = std::max(sample.total - waited, duration::zero());
    return sample;
}

void finish_at_upstream(state& node,
                        exchange const& item,
                        sending const& sent,
                        admission::sample_kind kind,
                        step& current)
{
    add(node.timed,
        {latency_place::upstream, item.hop.rank, std::string(to_string(kind))},
        current.now.monotonic - sent.started);
    if (!node.own.is_policy_enabled)
    {
        return;
    }
    instant const now = current.now.monotonic;
    admission::finish(
        node.admission, item.hop.rank, make_sample(item, sent, kind, now), now);
}

sending_outcome upstream_outcome(attempt_answered const& answered)
{
    sending_outcome ended;
    ended.status = answered.status;
    if (answered.is_misdirected)
    {
        ended.reason = refusal::draining;
        ended.detail = "another upstream has the address now";
        return ended;
    }
    if (answered.is_upstream_refusal)
    {
        ended.reason = refusal::overload;
        ended.detail = "the upstream refused before running";
        return ended;
    }
    ended.answer = answered.attempt;
    ended.owns_answer = true;
    ended.outcome = answered.status == unavailable_status
                        ? verdict::may_have_run
                        : verdict::ran;
    return ended;
}

// The limit was too high by one: the request was not run and waits again.
bool wait_again(state& node,
                exchange& item,
                attempt_answered const& answered,
                step& current)
{
    bool const is_due =
        node.own.is_policy_enabled && answered.is_upstream_refusal &&
        !item.hop.route && !item.downstream.is_refused && !item.is_answered &&
        item.upstream_refusals < max_upstream_refusals &&
        fold_verdict(item, verdict::not_run) == verdict::not_run;
    if (!is_due)
    {
        return false;
    }
    ++item.upstream_refusals;
    record(current, item.head.trace_id, "admission", "requeued", {});
    admit_here(node, item, current);
    return true;
}

void handle_upstream_answer(state& node,
                            exchange& item,
                            sending const& sent,
                            attempt_answered const& answered,
                            step& current)
{
    bool const is_refused =
        answered.is_upstream_refusal || answered.status == unavailable_status;
    bool const is_from_below = item.downstream.is_refused;
    auto kind = admission::sample_kind::completed;
    if (is_refused)
    {
        kind = is_from_below ? admission::sample_kind::ignored
                             : admission::sample_kind::refused;
    }
    finish_at_upstream(node, item, sent, kind, current);
    sending_outcome ended = upstream_outcome(answered);
    admission::note_answer(node.admission,
                           item.hop.rank,
                           was_shed_below(item, ended),
                           item.downstream.refused_level,
                           current.now.monotonic);
    if (answered.is_upstream_refusal || answered.is_misdirected)
    {
        --item.executions;
        current.out.push_back(release_attempt{answered.attempt});
    }
    if (answered.is_misdirected)
    {
        note_upstream_lost(node, "upstream-replaced", current);
    }
    if (wait_again(node, item, answered, current))
    {
        return;
    }
    ended.is_repeat_granted =
        answered.is_upstream_refusal && grants_repeats(node) &&
        retry::take_permit(node.permits, item.hop.urgency);
    end_sending(node, item, ended, current);
}

void note_peer_report(state& node,
                      exchange& item,
                      sending const& sent,
                      hop_report const& report,
                      step& current)
{
    timeline::advance(node.clock, current.now.wall, report.sent_at);
    routing::note_report(node.routing,
                         sent.peer,
                         item.hop.rank,
                         report,
                         node.random,
                         current.now.monotonic);
    if (report.is_draining)
    {
        membership::note_draining(node.membership, sent.peer, current);
    }
    item.executions += report.attempts;
    item.has_reached_upstream =
        item.has_reached_upstream || report.has_reached_upstream;
    item.retries_left +=
        retry::returned_budget(sent.passed_retries, report.retries_left);
}

void handle_peer_answer(state& node,
                        exchange& item,
                        sending const& sent,
                        attempt_answered const& answered,
                        step& current)
{
    hop_report const& report = *answered.report;
    note_peer_report(node, item, sent, report, current);
    sending_outcome ended;
    ended.outcome = report.outcome;
    ended.reason = report.reason;
    ended.status = answered.status;
    ended.retry_after = report.retry_after;
    if (!report.reason)
    {
        ended.answer = answered.attempt;
        ended.owns_answer = true;
        return end_sending(node, item, ended, current);
    }
    ended.detail = "refused by " + sent.peer;
    ended.is_unsent = !report.has_reached_upstream;
    ended.is_peer_word = true;
    ended.level = report.admission_level;
    ended.is_repeat_granted = report.is_repeat_granted;
    item.tried.push_back(sent.peer);
    if (report.reason == refusal::not_key_home)
    {
        item.key_home = report.key_home;
    }
    current.out.push_back(release_attempt{answered.attempt});
    end_sending(node, item, ended, current);
}

void note_peer_failure(state& node,
                       exchange& item,
                       sending const& sent,
                       attempt_failure failure,
                       step& current)
{
    if (failure == attempt_failure::cancelled ||
        failure == attempt_failure::connection_limit)
    {
        return routing::note_cancelled(node.routing, sent.peer);
    }
    auto const members =
        membership::members_of(node.membership, item.head.service);
    routing::note_failure(
        node.routing, sent.peer, members, node.random, current.now.monotonic);
    item.tried.push_back(sent.peer);
}

void note_failed_sending(state& node,
                         exchange& item,
                         sending const& sent,
                         attempt_failed const& failed,
                         step& current)
{
    if (!sent.peer.empty())
    {
        item.executions += failed.is_written ? 1 : 0;
        return note_peer_failure(node, item, sent, failed.failure, current);
    }
    item.executions -= failed.is_written ? 0 : 1;
    if (failed.failure == attempt_failure::connect_refused)
    {
        note_upstream_lost(node, "upstream-unreachable", current);
    }
    bool const is_late = failed.failure == attempt_failure::timed_out;
    finish_at_upstream(node,
                       item,
                       sent,
                       is_late ? admission::sample_kind::timed_out
                               : admission::sample_kind::ignored,
                       current);
    item.tried.push_back(node.own.self.address);
}

} // namespace

sending take_sending(state& node, exchange& item)
{
    sending sent = std::move(*item.under_way);
    item.under_way.reset();
    node.table.by_attempt.erase(sent.id);
    if (!sent.peer.empty())
    {
        return sent;
    }
    auto const [first, last] =
        node.table.by_trace.equal_range(item.head.trace_id);
    for (auto place = first; place != last; ++place)
    {
        if (place->second == item.id)
        {
            node.table.by_trace.erase(place);
            break;
        }
    }
    return sent;
}

void handle_answer(state& node, attempt_answered const& answered, step& current)
{
    exchange* item = find(node.table, answered.attempt);
    if (item == nullptr)
    {
        current.out.push_back(release_attempt{answered.attempt});
        return;
    }
    sending const sent = take_sending(node, *item);
    if (sent.peer.empty())
    {
        return handle_upstream_answer(node, *item, sent, answered, current);
    }
    if (answered.report)
    {
        return handle_peer_answer(node, *item, sent, answered, current);
    }
    current.out.push_back(release_attempt{answered.attempt});
    attempt_failed malformed;
    malformed.attempt = answered.attempt;
    malformed.failure = attempt_failure::malformed_answer;
    note_failed_sending(node, *item, sent, malformed, current);
    sending_outcome ended;
    ended.outcome = verdict::may_have_run;
    ended.reason = refusal::incomplete_answer;
    ended.detail = "the answer of a node had no report";
    end_sending(node, *item, ended, current);
}

void handle_failure(state& node, attempt_failed const& failed, step& current)
{
    exchange* item = find(node.table, failed.attempt);
    if (item == nullptr)
    {
        return;
    }
    sending const sent = take_sending(node, *item);
    note_failed_sending(node, *item, sent, failed, current);
    sending_outcome ended;
    ended.outcome =
        failed.is_written ? verdict::may_have_run : verdict::not_run;
    ended.reason = reason_of(failed.failure);
    ended.is_unsent = !failed.is_written;
    ended.detail = to_string(failed.failure);
    record(current,
           item->head.trace_id,
           "node",
           "attempt-failed",
           "attempt=" + std::to_string(failed.attempt.value) +
               " failure=" + ended.detail);
    end_sending(node, *item, ended, current);
}

} // namespace plantaintally::node
