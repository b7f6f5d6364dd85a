// The part of the engine that executes effects.
#include "drivers/internal/engine.hpp"

#include "logging/logging.hpp"

#include <utility>

namespace plantaintally::drivers
{

void engine::carry_out(forward_request const& effect)
{
    this->outbound_attempts.forward(effect);
}

void engine::carry_out(dispatch_request const& effect)
{
    this->outbound_attempts.dispatch(effect);
}

void engine::carry_out(cancel_attempt const& effect)
{
    this->outbound_attempts.cancel(effect.attempt);
}

void engine::carry_out(answer_from_attempt const& effect)
{
    auto content = this->outbound_attempts.find_answer(effect.attempt);
    if (content != nullptr)
    {
        this->exchanges.reply(
            effect.exchange,
            forwarded_answer{std::move(content), effect.report});
        return;
    }
    constexpr std::uint32_t gateway_timeout = 504;
    this->driver_metrics.add({"answers_missing_total"});
    auto report = effect.report;
    report.outcome = verdict::may_have_run;
    report.reason = refusal::incomplete_answer;
    this->exchanges.reply(effect.exchange,
                          refused_answer{gateway_timeout,
                                         "the response is no longer retained",
                                         report});
}

void engine::carry_out(refuse_request const& effect)
{
    this->exchanges.reply(
        effect.exchange,
        refused_answer{effect.status, effect.detail, effect.report});
}

void engine::carry_out(release_attempt const& effect)
{
    this->outbound_attempts.release(effect.attempt);
}

void engine::carry_out(send_control const& effect)
{
    this->control.send(
        effect.address,
        {this->self, this->callbacks.read_clock(), effect.message});
}

void engine::carry_out(renew_link const& effect)
{
    this->control.renew(effect.address);
}

void engine::carry_out(call_store const& effect)
{
    this->platform.call(effect);
}

void engine::carry_out(answer_report const& effect)
{
    this->edge.answer_report(effect);
}

void engine::carry_out(tell_readiness const& effect)
{
    this->edge.set_ready(effect.is_ready);
}

void engine::carry_out(limit_callers const& effect)
{
    this->caller_sessions.limits = this->caller_read_limits(effect.limits);
    this->peer_sessions.limits = this->peer_read_limits(effect.limits);
}

void engine::carry_out(answer_operator const& effect)
{
    this->local.answer_command(effect);
}

void engine::carry_out(wake_at const& effect)
{
    this->timer.set(effect.when);
}

void engine::carry_out(drain_upstream const&)
{
    auto const& announced = this->local.announcement();
    if (announced && this->external_dialect.calls_upstream_endpoints)
    {
        this->probe.drain(announced->address);
    }
}

void engine::carry_out(check_upstream const& effect)
{
    this->probe.check(effect);
}

void engine::carry_out(warm_connections const& effect)
{
    this->upstream_pool.warm(
        effect.upstream_address, effect.count, effect.limit);
}

void engine::carry_out(record_entry const& effect)
{
    logging::write_entry(effect.entry);
}

void engine::carry_out(exit_process const&)
{
    this->begin_exit();
}

} // namespace plantaintally::drivers
