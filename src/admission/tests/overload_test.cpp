#include "admission/admission.hpp"
#include "base/random.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <iostream>
#include <map>
#include <queue>

using namespace plantaintally;
using namespace plantaintally::admission;
using namespace std::chrono_literals;

namespace
{

// Parameters of a simulation in virtual time: random arrivals of one rank, from
// many callers, at one upstream.
struct load_plan
{
    double arrivals_per_second = 0;
    std::uint32_t slots = 20;
    duration service = 20ms;
    duration deadline = 500ms;
    duration length = 20s;
    queue_order order = queue_order::oldest_first;
    // The upstream refuses further requests while this many are running.
    std::uint32_t true_capacity = 20;
    std::size_t callers = 200;
    std::uint32_t queued_per_slot = options{}.queued_per_slot;
};

struct load_result
{
    int arrived = 0;
    int in_time = 0;
    // Requests that ran at the upstream but finished after their deadline.
    int wasted = 0;
    std::vector<duration> waits;

    duration median_wait() const
    {
        std::vector<duration> sorted = this->waits;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? 0s : sorted[sorted.size() / 2];
    }
};

struct running_request
{
    instant end{};
    instant started{};
    instant deadline{};
    bool operator<(running_request const& other) const
    {
        return other.end < this->end;
    }
};

class loaded_upstream
{
public:
    explicit loaded_upstream(load_plan const& wanted) : plan(wanted), random(11)
    {
        this->upstream.startup_options.order = wanted.order;
        this->upstream.startup_options.queued_per_slot = wanted.queued_per_slot;
        open(this->upstream, wanted.slots, 0s, this->now);
    }

    load_result run()
    {
        instant const end = this->now + this->plan.length;
        instant next_arrival = this->now;
        while (next_arrival < end)
        {
            bool const ends_first = !this->running.empty() &&
                                    this->running.top().end <= next_arrival;
            if (ends_first)
            {
                this->finish_one();
                continue;
            }
            this->now = next_arrival;
            this->arrive();
            next_arrival += this->draw_gap();
        }
        return this->result;
    }

private:
    duration draw_gap()
    {
        double const gap = -std::log(1.0 - draw_fraction(this->random)) /
                           this->plan.arrivals_per_second;
        return duration(static_cast<duration::rep>(gap * 1e6));
    }

    void arrive()
    {
        ++this->result.arrived;
        pending_request request;
        request.exchange =
            exchange_id{static_cast<std::uint64_t>(this->result.arrived)};
        request.rank = "browsing";
        request.caller =
            std::to_string(draw_below(this->random, this->plan.callers));
        request.deadline = this->now + this->plan.deadline;
        this->pump();
        if (offer(this->upstream, request, this->now).kind ==
            offer_kind::admitted)
        {
            this->start(this->now, request.deadline);
        }
    }

    void start(instant queued_at, instant deadline)
    {
        this->result.waits.push_back(this->now - queued_at);
        if (this->running.size() >= this->plan.true_capacity)
        {
            finish(this->upstream,
                   "browsing",
                   {sample_kind::refused, 0s, 0s},
                   this->now);
            return;
        }
        duration const service_time =
            draw_jittered(this->random, this->plan.service, 0.5);
        this->running.push({this->now + service_time, this->now, deadline});
    }

    void finish_one()
    {
        running_request const ended = this->running.top();
        this->running.pop();
        this->now = ended.end;
        bool const is_in_time = ended.end <= ended.deadline;
        this->result.in_time += is_in_time ? 1 : 0;
        this->result.wasted += is_in_time ? 0 : 1;
        duration const service_time = ended.end - ended.started;
        finish(this->upstream,
               "browsing",
               {sample_kind::completed, service_time, service_time},
               this->now);
        this->pump();
    }

    void pump()
    {
        take_expired(this->upstream, this->now);
        while (auto next = take_next(this->upstream, this->now))
        {
            this->start(next->queued_at, next->deadline);
        }
    }

    load_plan plan;
    random_source random;
    state upstream;
    instant now{100s};
    std::priority_queue<running_request> running;
    load_result result;
};

// Number of requests that the upstream can serve within the plan's length.
double capacity(load_plan const& plan)
{
    double const seconds = static_cast<double>(plan.length.count()) / 1e6;
    double const service = static_cast<double>(plan.service.count()) / 1e6;
    return plan.true_capacity / service * seconds;
}

load_result run(load_plan const& plan)
{
    return loaded_upstream(plan).run();
}

void print(load_plan const& plan)
{
    load_result const result = run(plan);
    double const possible = std::min<double>(capacity(plan), result.arrived);
    std::cout << "arrivals/s " << plan.arrivals_per_second
              << " queued_per_slot " << plan.queued_per_slot << " deadline_ms "
              << plan.deadline.count() / 1000 << " newest_first "
              << (plan.order != queue_order::oldest_first) << " in_time_share "
              << result.in_time / possible << " wasted " << result.wasted
              << " median_wait_ms " << result.median_wait().count() / 1000
              << '\n';
}

} // namespace

TEST_CASE("at double load, completions in time stay near the capacity")
{
    for (queue_order order :
         {queue_order::oldest_first, queue_order::newest_first_when_late})
    {
        load_plan plan;
        plan.arrivals_per_second = 2000;
        plan.order = order;
        load_result const result = run(plan);
        INFO("in time " << result.in_time << " wasted " << result.wasted
                        << " median wait us " << result.median_wait().count());
        CHECK(result.in_time >= 0.9 * capacity(plan));
    }
}

TEST_CASE("an upstream with less capacity than announced is still kept busy")
{
    load_plan plan;
    plan.arrivals_per_second = 2000;
    plan.slots = 40;
    load_result const result = run(plan);
    INFO("in time " << result.in_time << " wasted " << result.wasted);
    CHECK(result.in_time >= 0.9 * capacity(plan));
}

TEST_CASE("figures of the two queue orders", "[.][figures]")
{
    for (double arrivals : {1200.0, 2000.0})
    {
        for (queue_order order :
             {queue_order::oldest_first, queue_order::newest_first_when_late})
        {
            for (std::uint32_t queued : {4, 50})
            {
                for (duration deadline : {100ms, 1000ms})
                {
                    load_plan plan;
                    plan.arrivals_per_second = arrivals;
                    plan.order = order;
                    plan.callers = 1;
                    plan.queued_per_slot = queued;
                    plan.deadline = deadline;
                    print(plan);
                }
            }
        }
    }
}
