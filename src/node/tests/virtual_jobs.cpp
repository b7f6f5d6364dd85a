// The virtual fleet's execution of requests at the upstreams.
#include "virtual_fleet.hpp"

#include <cmath>

namespace plantaintally::node
{

namespace
{

constexpr std::uint32_t good_status = 200;
constexpr std::uint32_t failed_call_status = 502;
constexpr std::uint32_t refused_status = 503;
// Service times deviate from the planned ones by up to this fraction.
constexpr double service_time_spread = 0.3;

} // namespace

duration virtual_fleet::draw_service_time(upstream_plan const& plan)
{
    return draw_jittered(this->random, plan.service_time, service_time_spread);
}

void virtual_fleet::start_job(std::size_t node, upstream_job job)
{
    virtual_upstream& upstream = this->members[node].upstream;
    upstream_plan const& plan = upstream.plan;
    bool const is_full = upstream.running.size() >= plan.slots;
    bool const is_refused =
        (is_full && upstream.waiting.size() >= plan.queue_limit) ||
        draw_fraction(this->random) < plan.refused_fraction;
    if (is_refused)
    {
        attempt_answered refused{
            job.attempt, refused_status, std::nullopt, true};
        return this->schedule(
            {},
            [this, node, refused]()
            { this->end_attempt(node, refused.attempt, refused); });
    }
    if (is_full)
    {
        upstream.waiting.push_back(std::move(job));
        return;
    }
    attempt_id const attempt = job.attempt;
    ++upstream.executed;
    ++upstream.executions[job.trace_id];
    if (!job.key.empty())
    {
        ++upstream.executions_by_key[job.key];
    }
    upstream.running[attempt] = std::move(job);
    this->schedule(this->draw_service_time(plan),
                   [this, node, attempt]() { this->step_job(node, attempt); });
}

void virtual_fleet::step_job(std::size_t node, attempt_id attempt)
{
    virtual_upstream& upstream = this->members[node].upstream;
    upstream_job& job = upstream.running.at(attempt);
    std::vector<std::string> const& calls = upstream.plan.downstream;
    bool const is_over = job.next_call >= calls.size() || job.has_failed_call ||
                         job.deadline <= this->time;
    if (is_over)
    {
        return this->finish_job(node, attempt);
    }
    std::size_t const last =
        upstream.plan.is_parallel ? calls.size() : job.next_call + 1;
    std::size_t const first = job.next_call;
    job.next_call = last;
    job.open_calls = static_cast<std::uint32_t>(last - first);
    upstream_job const copy = job;
    for (std::size_t index = first; index < last; ++index)
    {
        this->call_downstream(node, copy, calls[index]);
    }
}

void virtual_fleet::end_call(std::size_t node, attempt_id job, bool is_good)
{
    virtual_upstream& upstream = this->members[node].upstream;
    auto const found = upstream.running.find(job);
    if (found == upstream.running.end())
    {
        return;
    }
    found->second.has_failed_call |= !is_good;
    if (--found->second.open_calls == 0)
    {
        this->step_job(node, job);
    }
}

void virtual_fleet::finish_job(std::size_t node, attempt_id attempt)
{
    virtual_upstream& upstream = this->members[node].upstream;
    upstream_job const job = upstream.running.at(attempt);
    upstream.running.erase(attempt);
    this->free_slot(node);
    if (draw_fraction(this->random) < upstream.plan.lost_answer_fraction)
    {
        return this->lose_answer(node, attempt);
    }
    attempt_answered answered;
    answered.attempt = attempt;
    answered.status = job.has_failed_call ? failed_call_status : good_status;
    if (job.has_failed_call &&
        draw_fraction(this->random) < upstream.plan.late_refusal_fraction)
    {
        answered.status = refused_status;
        answered.is_upstream_refusal = true;
        --upstream.executions[job.trace_id];
    }
    this->end_attempt(node, attempt, answered);
}

void virtual_fleet::free_slot(std::size_t node)
{
    virtual_upstream& upstream = this->members[node].upstream;
    while (!upstream.waiting.empty())
    {
        upstream_job next = std::move(upstream.waiting.front());
        upstream.waiting.pop_front();
        if (next.deadline > this->time)
        {
            return this->start_job(node, std::move(next));
        }
    }
}

} // namespace plantaintally::node
