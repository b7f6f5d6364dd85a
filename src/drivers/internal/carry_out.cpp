// The part of the engine that hands effects to the drivers.
#include "drivers/internal/engine.hpp"

#include "logging/logging.hpp"

#include <utility>

namespace plantaintally::drivers
{

void engine::carry_out(forward_request const& wanted)
{
    this->attempted.forward(wanted);
}

void engine::carry_out(dispatch_request const& wanted)
{
    this->attempted.dispatch(wanted);
}

void engine::carry_out(cancel_attempt const& wanted)
{
    this->attempted.cancel(wanted.attempt);
}

void engine::carry_out(answer_from_attempt const& wanted)
{
    auto content = this->attempted.find_answer(wanted.attempt);
    if (content != nullptr)
    {
        this->exchanges.reply(wanted.exchange,
                              passed_answer{std::move(content), wanted.report});
        return;
    }
    constexpr std::uint32_t gateway_timeout = 504;
    this->figures.add({"answers_missing_total"});
    auto report = wanted.report;
    report.outcome = verdict::may_have_run;
    report.reason = refusal::incomplete_answer;
    this->exchanges.reply(wanted.exchange,
                          refused_answer{gateway_timeout,
                                         "the answer is no longer kept",
                                         report});
}

void engine::carry_out(refuse_request const& wanted)
{
    this->exchanges.reply(
        wanted.exchange,
        refused_answer{wanted.status, wanted.detail, wanted.report});
}

void engine::carry_out(release_attempt const& wanted)
{
    this->attempted.release(wanted.attempt);
}

void engine::carry_out(send_control const& wanted)
{
    this->control.send(wanted.address,
                       {this->self, this->decide.read_clock(), wanted.message});
}

void engine::carry_out(call_store const& wanted)
{
    this->platform.call(wanted);
}

void engine::carry_out(answer_report const& wanted)
{
    this->edge.answer_report(wanted);
}

void engine::carry_out(tell_readiness const& wanted)
{
    this->edge.set_ready(wanted.is_ready);
}

void engine::carry_out(limit_callers const& wanted)
{
    this->caller_sessions.limits = this->caller_limits(wanted.limits);
}

void engine::carry_out(answer_operator const& wanted)
{
    this->local.answer_command(wanted);
}

void engine::carry_out(wake_at const& wanted)
{
    this->timer.set(wanted.when);
}

void engine::carry_out(drain_upstream const&)
{
    auto const& announced = this->local.announcement();
    if (announced && this->spoken.calls_upstream_endpoints)
    {
        this->probe.drain(announced->address);
    }
}

void engine::carry_out(warm_connections const& wanted)
{
    this->upstream_pool.warm(
        wanted.upstream_address, wanted.count, wanted.limit);
}

void engine::carry_out(record_entry const& wanted)
{
    logging::write_entry(wanted.entry);
}

void engine::carry_out(exit_process const&)
{
    this->begin_ending();
}

} // namespace plantaintally::drivers
