#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// Redirects the request to the key's home that another node named. Nothing was
// executed, so this consumes no retry.
bool redirect_to_home(state& node,
                      exchange& request,
                      attempt_result const& result,
                      step& current)
{
    bool const may_redirect =
        result.reason == refusal::not_key_home && is_origin(request) &&
        !request.is_answered && !request.key_home.empty() &&
        request.redirections_made < retry::max_redirections;
    if (!may_redirect)
    {
        return false;
    }
    ++request.redirections_made;
    record(current,
           request.head.trace_id,
           "once",
           "redirected",
           "home=" + request.key_home);
    route_request(node, request, current);
    return true;
}

// The search for a member with free capacity may take this fraction (1/n) of
// the time in which an answer has its full worth; a later refusal counts as
// late.
constexpr int search_time_divisor = 8;

// True if there is time left, and a live member that has not been tried yet.
bool can_try_another_member(state const& node,
                            exchange const& request,
                            instant now)
{
    duration const elapsed = now - request.arrived_at;
    if (elapsed * search_time_divisor >
        request.target_deadline - request.arrived_at)
    {
        return false;
    }
    auto const members =
        membership::members_of(node.membership, request.head.service);
    return std::ranges::any_of(
        members,
        [&](membership::member_record const& member)
        {
            return member.status == membership::member_status::alive &&
                   std::ranges::find(request.tried, member.node.address) ==
                       request.tried.end();
        });
}

retry::failed_attempt describe_failure(state const& node,
                                       exchange const& request,
                                       attempt_result const& result,
                                       instant now)
{
    retry::failed_attempt failed;
    failed.service = request.head.service;
    failed.urgency = request.hop.urgency;
    failed.outcome = result.outcome;
    failed.reason = result.reason;
    failed.is_idempotent = is_repeatable(request);
    failed.can_redirect = request.hop.route && result.is_undelivered &&
                          can_try_another_member(node, request, now);
    failed.is_retry_permitted = result.is_repeat_granted;
    failed.is_keyed = is_keyed(request);
    failed.retries_left = request.retries_left;
    failed.retries_made = request.retries_made;
    failed.redirections_made = request.redirections_made;
    failed.time_left = request.deadline - now;
    failed.retry_after =
        is_keyed(request) ? result.retry_after : duration::zero();
    return failed;
}

void schedule_retry(state& node,
                    exchange& request,
                    duration wait,
                    bool is_retry_permitted,
                    step& current)
{
    --request.retries_left;
    ++request.retries_made;
    request.phase = exchange_phase::backing_off;
    set_timer(node.table, request, current.now.monotonic + wait);
    count(node, request, count_kind::retried, {}, current);
    record(current,
           request.head.trace_id,
           "retry",
           "retried",
           "wait_us=" + std::to_string(wait.count()) +
               " retries_left=" + std::to_string(request.retries_left) +
               " granted=" + (is_retry_permitted ? "true" : "false"));
}

bool retry_or_redirect(state& node,
                       exchange& request,
                       attempt_result const& result,
                       step& current)
{
    if (!is_origin(request) || request.is_answered)
    {
        return false;
    }
    auto const decision = retry::decide(
        node.retries,
        describe_failure(node, request, result, current.now.monotonic),
        node.random);
    if (decision.kind == retry::retry_kind::give_up)
    {
        return false;
    }
    request.hop.is_delegated = false;
    request.hop.to_key_home = false;
    if (decision.kind == retry::retry_kind::redirect)
    {
        ++request.redirections_made;
        request.key_home.clear();
        route_request(node, request, current);
        return true;
    }
    schedule_retry(
        node, request, decision.wait, result.is_repeat_granted, current);
    return true;
}

void release_answer(attempt_result const& result,
                    bool is_retained,
                    step& current)
{
    if (result.answer && result.owns_answer && !is_retained)
    {
        current.out.push_back(release_attempt{*result.answer});
    }
}

// True for the statuses with which a service reports that it, or a service that
// it calls, has no capacity.
bool is_overload_status(std::uint32_t status)
{
    return status == 502 || status == 503 || status == 504;
}

void note_if_accepted(state& node,
                      exchange const& request,
                      attempt_result const& result,
                      step& current)
{
    bool const is_refused = result.reason == refusal::overload ||
                            result.reason == refusal::queue_full ||
                            result.reason == refusal::shed_at_source ||
                            result.reason == refusal::deadline_unreachable ||
                            result.reason == refusal::deadline_passed;
    bool const is_unknown = result.reason == refusal::no_upstream;
    if (!is_origin(request) || is_refused || is_unknown ||
        is_overload_status(result.status))
    {
        return;
    }
    admission::note_accepted(node.throttle,
                             request.head.service,
                             request.hop.rank,
                             current.now.monotonic);
}

// Passes the end of a request that entered the fleet here to the decision on
// later ones: at the entrance of a chain to the gate for new work, in the
// middle of one to the requests that wait for this call.
void note_capacity(state& node,
                   exchange const& request,
                   attempt_result const& result,
                   instant now)
{
    if (is_upstream_call(request))
    {
        node.last_call_without_capacity =
            result.lacks_capacity ? now : node.last_call_without_capacity;
        return;
    }
    bool const has_entered =
        is_origin(request) && request.hop.route && request.has_entered;
    if (has_entered && result.reason != refusal::caller_gone)
    {
        admission::note_finished(node.entrance,
                                 request.head.service,
                                 request.hop.rank,
                                 {request.arrived_at, result.lacks_capacity},
                                 now);
    }
}

void note_local_refusal(state& node,
                        exchange& request,
                        attempt_result const& result)
{
    bool const is_local =
        result.level > 0 || result.reason == refusal::draining;
    if (is_origin(request) && is_local)
    {
        request.tried.push_back(node.startup_options.self.address);
    }
}

// True if a verdict of not_run takes the history of the key into account: this
// node is the home of the key, or the home returned the verdict. An attempt
// that never reached the home provides no information about an earlier request
// with the same key.
bool is_key_history_known(exchange const& request, attempt_result const& result)
{
    bool const needs_home =
        is_origin(request) && is_keyed(request) && !request.is_claimed;
    bool const is_home_verdict =
        result.is_peer_verdict && result.reason != refusal::not_key_home;
    return !needs_home || is_home_verdict;
}

} // namespace

verdict entrance_verdict(exchange const& request)
{
    bool const is_known =
        !is_keyed(request) || request.is_claimed || request.hop.is_delegated;
    return is_known ? verdict::not_run : verdict::may_have_run;
}

void retry_or_conclude(state& node,
                       exchange& request,
                       attempt_result const& result,
                       step& current)
{
    attempt_result effective = result;
    effective.outcome = fold_verdict(request, result.outcome);
    if (!node.startup_options.is_policy_enabled &&
        retry_without_policy(node, request, effective, current))
    {
        return;
    }
    if (!effective.reason)
    {
        return conclude(node, request, effective, current);
    }
    settle_key(node, request, effective, current);
    if (redirect_to_home(node, request, effective, current))
    {
        return;
    }
    request.may_have_run =
        request.may_have_run || effective.outcome != verdict::not_run;
    note_local_refusal(node, request, effective);
    if (node.startup_options.is_policy_enabled &&
        retry_or_redirect(node, request, effective, current))
    {
        return;
    }
    conclude(node, request, effective, current);
}

void conclude(state& node,
              exchange& request,
              attempt_result const& result,
              step& current)
{
    attempt_result effective = result;
    bool const is_uncertain =
        request.may_have_run || !is_key_history_known(request, effective);
    if (effective.outcome == verdict::not_run && is_uncertain)
    {
        effective.outcome = verdict::may_have_run;
    }
    bool const is_retained = settle_key(node, request, effective, current);
    note_if_accepted(node, request, effective, current);
    note_capacity(node, request, effective, current.now.monotonic);
    answer_exchange(node, request, effective, current);
    release_answer(effective, is_retained, current);
    detach_child(node, request, effective, current.now.monotonic);
    erase(node.table, request.id);
}

void refuse(state& node,
            exchange& request,
            refusal reason,
            std::string_view detail,
            step& current)
{
    attempt_result result;
    result.outcome = entrance_verdict(request);
    result.reason = reason;
    result.detail = detail;
    if (reason == refusal::shed_at_source)
    {
        result.lacks_capacity = true;
        auto const members =
            membership::members_of(node.membership, request.head.service);
        result.level = routing::lowest_admission_level(
            node.routing, members, request.hop.rank, current.now.monotonic);
    }
    conclude(node, request, result, current);
}

} // namespace plantaintally::node
