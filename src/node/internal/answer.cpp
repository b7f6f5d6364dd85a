#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

constexpr std::uint32_t bad_request_status = 400;
constexpr std::uint32_t no_route_status = 404;
constexpr std::uint32_t too_large_status = 413;
constexpr std::uint32_t not_run_status = 503;
constexpr std::uint32_t may_have_run_status = 504;
constexpr duration default_retry_after = std::chrono::milliseconds(200);
constexpr duration min_retry_after = std::chrono::milliseconds(20);
// Part of the time for a good answer after which a refused caller comes back,
// so that its repeat can still be answered in that time.
constexpr int comeback_share = 4;
constexpr double comeback_jitter = 0.25;

std::uint32_t status_of(sending_outcome const& ended)
{
    if (ended.reason == refusal::bad_request)
    {
        return bad_request_status;
    }
    if (ended.reason == refusal::no_route)
    {
        return no_route_status;
    }
    if (ended.reason == refusal::too_large)
    {
        return too_large_status;
    }
    return ended.outcome == verdict::not_run ? not_run_status
                                             : may_have_run_status;
}

// When a refused caller is to come back. The nodes between leave that to the
// entrance, which knows the whole time for a good answer.
duration comeback_after(state& node, exchange const& item, duration asked)
{
    if (!item.hop.route)
    {
        return std::max(asked, default_retry_after);
    }
    if (!is_origin(item))
    {
        return asked;
    }
    duration const least =
        std::clamp((item.aim - item.arrived_at) / comeback_share,
                   min_retry_after,
                   default_retry_after);
    return draw_jittered(node.random, std::max(asked, least), comeback_jitter);
}

std::string took(exchange const& item, step const& current)
{
    return std::to_string((current.now.monotonic - item.arrived_at).count());
}

// The text as the value of a field in a time line entry.
std::string in_one_word(std::string text)
{
    std::replace(text.begin(), text.end(), ' ', '-');
    return text;
}

void answer_whole(state& node,
                  exchange& item,
                  sending_outcome const& ended,
                  step& current)
{
    answer_from_attempt effect;
    effect.exchange = item.id;
    effect.attempt = *ended.answer;
    effect.report = make_report(node, item, ended, current);
    current.out.push_back(std::move(effect));
    count(node, item, count_kind::answered, to_string(ended.outcome), current);
    record(current,
           item.head.trace_id,
           "node",
           "answered",
           "verdict=" + std::string(to_string(ended.outcome)) +
               " status=" + std::to_string(ended.status) +
               " attempts=" + std::to_string(item.executions) +
               " took_us=" + took(item, current));
}

void answer_with_refusal(state& node,
                         exchange& item,
                         sending_outcome const& ended,
                         step& current)
{
    refuse_request effect;
    effect.exchange = item.id;
    std::uint32_t const effect_status = status_of(ended);
    effect.status = effect_status;
    effect.detail = ended.detail;
    effect.report = make_report(node, item, ended, current);
    current.out.push_back(std::move(effect));
    std::string_view const reason = to_string(*ended.reason);
    count(node, item, count_kind::refused, reason, current);
    record(current,
           item.head.trace_id,
           "node",
           ended.reason == refusal::shed_at_source ? "shed-at-source"
                                                   : "refused",
           "reason=" + std::string(reason) +
               " verdict=" + std::string(to_string(ended.outcome)) +
               " status=" + std::to_string(effect_status) +
               " admission_level=" + std::to_string(ended.level) +
               " tried=" + std::to_string(item.tried.size()) + " took_us=" +
               took(item, current) + " detail=" + in_one_word(ended.detail));
}

} // namespace

void answer_exchange(state& node,
                     exchange& item,
                     sending_outcome const& ended,
                     step& current)
{
    if (item.is_answered)
    {
        return;
    }
    item.is_answered = true;
    if (is_origin(item))
    {
        std::string_view const result =
            ended.answer ? "answered" : to_string(*ended.reason);
        add(node.timed,
            {latency_place::entrance, item.hop.rank, std::string(result)},
            current.now.monotonic - item.arrived_at);
    }
    if (ended.answer)
    {
        return answer_whole(node, item, ended, current);
    }
    answer_with_refusal(node, item, ended, current);
}

hop_report make_report(state& node,
                       exchange const& item,
                       sending_outcome const& ended,
                       step& current)
{
    instant const now = current.now.monotonic;
    hop_report report;
    report.outcome = ended.outcome;
    if (!ended.answer)
    {
        report.reason = ended.reason.value_or(refusal::attempt_failed);
        report.retry_after = comeback_after(node, item, ended.retry_after);
        report.is_repeat_granted = ended.is_repeat_granted;
    }
    report.has_reached_upstream = item.has_reached_upstream;
    report.attempts = item.executions;
    report.retries_left = item.retries_left;
    report.admission_level =
        std::max(admission::admission_level(node.admission, item.hop.rank, now),
                 ended.level);
    report.load_permille = admission::load_permille(node.admission, now);
    report.is_draining = node.lifecycle.upstream.has_value() &&
                         !lifecycle::takes_work(node.lifecycle);
    if (ended.reason == refusal::not_key_home)
    {
        report.key_home = item.key_home;
    }
    report.sent_at = timeline::advance(node.clock, current.now.wall);
    return report;
}

void count(state& node,
           exchange const& item,
           count_kind kind,
           std::string_view reason,
           step& current)
{
    count_key key;
    key.kind = kind;
    key.service = item.head.service;
    key.rank = item.hop.rank;
    key.reason = reason;
    key.caller = item.head.caller;
    add(node.counted, key, current.now.monotonic);
}

} // namespace plantaintally::node
