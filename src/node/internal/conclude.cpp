#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// Goes to the home that another node named. Nothing was run, so it costs no
// retry.
bool redirect_to_home(state& node,
                      exchange& item,
                      sending_outcome const& ended,
                      step& current)
{
    bool const is_due = ended.reason == refusal::not_key_home &&
                        is_origin(item) && !item.is_answered &&
                        !item.key_home.empty() &&
                        item.redirections_made < retry::max_redirections;
    if (!is_due)
    {
        return false;
    }
    ++item.redirections_made;
    record(current,
           item.head.trace_id,
           "once",
           "redirected",
           "home=" + item.key_home);
    route_request(node, item, current);
    return true;
}

// Part of the time until an answer loses worth that may be spent on looking
// for a member with room; after it a refusal counts as late.
constexpr int search_share = 8;

// Another member takes work that was not tried, and there is time to ask it.
bool may_still_move(state const& node, exchange const& item, instant now)
{
    duration const spent = now - item.arrived_at;
    if (spent * search_share > item.aim - item.arrived_at)
    {
        return false;
    }
    auto const members =
        membership::members_of(node.membership, item.head.service);
    return std::ranges::any_of(
        members,
        [&](membership::member_record const& member)
        {
            return member.status == membership::member_status::alive &&
                   std::ranges::find(item.tried, member.node.address) ==
                       item.tried.end();
        });
}

retry::failed_attempt describe(state const& node,
                               exchange const& item,
                               sending_outcome const& ended,
                               instant now)
{
    retry::failed_attempt failed;
    failed.service = item.head.service;
    failed.urgency = item.hop.urgency;
    failed.outcome = ended.outcome;
    failed.reason = ended.reason;
    failed.is_idempotent = is_repeatable(item);
    failed.can_redirect =
        item.hop.route && ended.is_unsent && may_still_move(node, item, now);
    failed.is_retry_permitted = ended.is_repeat_granted;
    failed.is_keyed = is_keyed(item);
    failed.retries_left = item.retries_left;
    failed.retries_made = item.retries_made;
    failed.redirections_made = item.redirections_made;
    failed.time_left = item.deadline - now;
    failed.retry_after = is_keyed(item) ? ended.retry_after : duration::zero();
    return failed;
}

void schedule_retry(state& node,
                    exchange& item,
                    duration wait,
                    bool is_retry_permitted,
                    step& current)
{
    --item.retries_left;
    ++item.retries_made;
    item.phase = exchange_phase::backing_off;
    set_timer(node.table, item, current.now.monotonic + wait);
    count(node, item, count_kind::retried, {}, current);
    record(current,
           item.head.trace_id,
           "retry",
           "retried",
           "wait_us=" + std::to_string(wait.count()) +
               " retries_left=" + std::to_string(item.retries_left) +
               " granted=" + (is_retry_permitted ? "true" : "false"));
}

bool try_again(state& node,
               exchange& item,
               sending_outcome const& ended,
               step& current)
{
    if (!is_origin(item) || item.is_answered)
    {
        return false;
    }
    auto const decision =
        retry::decide(node.retries,
                      describe(node, item, ended, current.now.monotonic),
                      node.random);
    if (decision.kind == retry::retry_kind::give_up)
    {
        return false;
    }
    item.hop.is_delegated = false;
    item.hop.to_key_home = false;
    if (decision.kind == retry::retry_kind::redirect)
    {
        ++item.redirections_made;
        item.key_home.clear();
        route_request(node, item, current);
        return true;
    }
    schedule_retry(node, item, decision.wait, ended.is_repeat_granted, current);
    return true;
}

void release_answer(sending_outcome const& ended, bool is_kept, step& current)
{
    if (ended.answer && ended.owns_answer && !is_kept)
    {
        current.out.push_back(release_attempt{*ended.answer});
    }
}

// Statuses by which a service says that it, or one that it calls, has no
// capacity.
bool tells_of_overload(std::uint32_t status)
{
    return status == 502 || status == 503 || status == 504;
}

void note_capacity(state& node,
                   exchange const& item,
                   sending_outcome const& ended,
                   step& current)
{
    bool const is_refused = ended.reason == refusal::overload ||
                            ended.reason == refusal::queue_full ||
                            ended.reason == refusal::shed_at_source ||
                            ended.reason == refusal::deadline_unreachable ||
                            ended.reason == refusal::deadline_passed;
    bool const is_unknown = ended.reason == refusal::no_upstream;
    if (!is_origin(item) || is_refused || is_unknown ||
        tells_of_overload(ended.status))
    {
        return;
    }
    admission::note_accepted(
        node.throttle, item.head.service, item.hop.rank, current.now.monotonic);
}

void note_own_refusal(state& node, exchange& item, sending_outcome const& ended)
{
    bool const is_here = ended.level > 0 || ended.reason == refusal::draining;
    if (is_origin(item) && is_here)
    {
        item.tried.push_back(node.own.self.address);
    }
}

// True if not_run is the word of the node that decides on the key: it is the
// home, or the home said so. An attempt that never reached the home tells
// nothing of an earlier request with the same key.
bool is_key_decided(exchange const& item, sending_outcome const& ended)
{
    bool const needs_home =
        is_origin(item) && is_keyed(item) && !item.is_claimed;
    bool const is_homes_word =
        ended.is_peer_word && ended.reason != refusal::not_key_home;
    return !needs_home || is_homes_word;
}

} // namespace

verdict entrance_verdict(exchange const& item)
{
    bool const is_known =
        !is_keyed(item) || item.is_claimed || item.hop.is_delegated;
    return is_known ? verdict::not_run : verdict::may_have_run;
}

void end_sending(state& node,
                 exchange& item,
                 sending_outcome const& ended,
                 step& current)
{
    sending_outcome known = ended;
    known.outcome = fold_verdict(item, ended.outcome);
    if (!node.own.is_policy_enabled &&
        retry_blindly(node, item, known, current))
    {
        return;
    }
    if (!known.reason)
    {
        return conclude(node, item, known, current);
    }
    settle_key(node, item, known, current);
    if (redirect_to_home(node, item, known, current))
    {
        return;
    }
    item.may_have_run = item.may_have_run || known.outcome != verdict::not_run;
    note_own_refusal(node, item, known);
    if (node.own.is_policy_enabled && try_again(node, item, known, current))
    {
        return;
    }
    conclude(node, item, known, current);
}

void conclude(state& node,
              exchange& item,
              sending_outcome const& ended,
              step& current)
{
    sending_outcome known = ended;
    bool const is_in_doubt = item.may_have_run || !is_key_decided(item, known);
    if (known.outcome == verdict::not_run && is_in_doubt)
    {
        known.outcome = verdict::may_have_run;
    }
    bool const is_kept = settle_key(node, item, known, current);
    note_capacity(node, item, known, current);
    answer_exchange(node, item, known, current);
    release_answer(known, is_kept, current);
    detach_child(node, item, known, current.now.monotonic);
    erase(node.table, item.id);
}

void refuse(state& node,
            exchange& item,
            refusal reason,
            std::string_view detail,
            step& current)
{
    sending_outcome ended;
    ended.outcome = entrance_verdict(item);
    ended.reason = reason;
    ended.detail = detail;
    if (reason == refusal::shed_at_source)
    {
        auto const members =
            membership::members_of(node.membership, item.head.service);
        ended.level = routing::lowest_admission_level(
            node.routing, members, item.hop.rank, current.now.monotonic);
    }
    conclude(node, item, ended, current);
}

} // namespace plantaintally::node
