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
// The suggested wait before a retry is the time in which an answer has its full
// worth divided by this number, so that the retry can still be answered within
// that time.
constexpr int retry_after_divisor = 4;
constexpr double retry_after_jitter = 0.25;

std::uint32_t status_of(attempt_result const& result)
{
    if (result.reason == refusal::bad_request)
    {
        return bad_request_status;
    }
    if (result.reason == refusal::no_route)
    {
        return no_route_status;
    }
    if (result.reason == refusal::too_large)
    {
        return too_large_status;
    }
    return result.outcome == verdict::not_run ? not_run_status
                                              : may_have_run_status;
}

// Returns the time after which a refused caller should retry. Intermediate
// nodes pass on the value they received, since only the entrance node knows the
// full time in which an answer has its full worth.
duration
choose_retry_after(state& node, exchange const& request, duration suggested)
{
    if (!request.hop.route)
    {
        return std::max(suggested, default_retry_after);
    }
    if (!is_origin(request))
    {
        return suggested;
    }
    duration const minimum = std::clamp(
        (request.target_deadline - request.arrived_at) / retry_after_divisor,
        min_retry_after,
        default_retry_after);
    return draw_jittered(
        node.random, std::max(suggested, minimum), retry_after_jitter);
}

std::string elapsed_us(exchange const& request, step const& current)
{
    return std::to_string((current.now.monotonic - request.arrived_at).count());
}

// Replaces spaces by hyphens, since fields of a time-line entry are separated
// by spaces.
std::string hyphenate(std::string text)
{
    std::replace(text.begin(), text.end(), ' ', '-');
    return text;
}

void send_upstream_answer(state& node,
                          exchange& request,
                          attempt_result const& result,
                          step& current)
{
    answer_from_attempt effect;
    effect.exchange = request.id;
    effect.attempt = *result.answer;
    effect.report = make_report(node, request, result, current);
    current.out.push_back(std::move(effect));
    count(node,
          request,
          count_kind::answered,
          to_string(result.outcome),
          current);
    record(current,
           request.head.trace_id,
           "node",
           "answered",
           "verdict=" + std::string(to_string(result.outcome)) +
               " status=" + std::to_string(result.status) +
               " attempts=" + std::to_string(request.executions) +
               " took_us=" + elapsed_us(request, current));
}

void send_refusal(state& node,
                  exchange& request,
                  attempt_result const& result,
                  step& current)
{
    refuse_request effect;
    effect.exchange = request.id;
    std::uint32_t const effect_status = status_of(result);
    effect.status = effect_status;
    effect.detail = result.detail;
    effect.report = make_report(node, request, result, current);
    current.out.push_back(std::move(effect));
    std::string_view const reason = to_string(*result.reason);
    count(node, request, count_kind::refused, reason, current);
    record(current,
           request.head.trace_id,
           "node",
           result.reason == refusal::shed_at_source ? "shed-at-source"
                                                    : "refused",
           "reason=" + std::string(reason) +
               " verdict=" + std::string(to_string(result.outcome)) +
               " status=" + std::to_string(effect_status) +
               " admission_level=" + std::to_string(result.level) +
               " tried=" + std::to_string(request.tried.size()) +
               " took_us=" + elapsed_us(request, current) +
               " detail=" + hyphenate(result.detail));
}

} // namespace

void answer_exchange(state& node,
                     exchange& request,
                     attempt_result const& result,
                     step& current)
{
    if (request.is_answered)
    {
        return;
    }
    request.is_answered = true;
    if (is_origin(request))
    {
        std::string_view const result_label =
            result.answer ? "answered" : to_string(*result.reason);
        add(node.request_latencies,
            {latency_place::entrance,
             request.hop.rank,
             std::string(result_label)},
            current.now.monotonic - request.arrived_at);
    }
    if (result.answer)
    {
        return send_upstream_answer(node, request, result, current);
    }
    send_refusal(node, request, result, current);
}

hop_report make_report(state& node,
                       exchange const& request,
                       attempt_result const& result,
                       step& current)
{
    instant const now = current.now.monotonic;
    hop_report report;
    report.outcome = result.outcome;
    if (!result.answer)
    {
        report.reason = result.reason.value_or(refusal::attempt_failed);
        report.retry_after =
            choose_retry_after(node, request, result.retry_after);
        report.is_repeat_granted = result.is_repeat_granted;
    }
    report.has_reached_upstream = request.has_reached_upstream;
    report.lacks_capacity = result.lacks_capacity;
    report.attempts = request.executions;
    report.retries_left = request.retries_left;
    report.admission_level = std::max(
        admission::admission_level(node.admission, request.hop.rank, now),
        result.level);
    report.load_permille = admission::load_permille(node.admission, now);
    report.is_draining = node.lifecycle.upstream.has_value() &&
                         !lifecycle::takes_work(node.lifecycle);
    if (result.reason == refusal::not_key_home)
    {
        report.key_home = request.key_home;
    }
    report.sent_at = timeline::advance(node.clock, current.now.wall);
    return report;
}

void count(state& node,
           exchange const& request,
           count_kind kind,
           std::string_view reason,
           step& current)
{
    count_key_view key;
    key.kind = kind;
    key.service = request.head.service;
    key.rank = request.hop.rank;
    key.reason = reason;
    key.caller = request.head.caller;
    add(node.request_counts, key, current.now.monotonic);
}

} // namespace plantaintally::node
