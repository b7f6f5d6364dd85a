#include "virtual_fleet.hpp"

#include "base/hash.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

// Open-loop load on one target, distributed over the entrance nodes in turn.
struct load
{
    std::string service;
    std::string target;
    double per_second = 0;
    duration from{};
    duration until{};
    std::string method = "GET";
    // Maximum number of times that a caller resends a request that was not
    // served.
    int max_resends = 0;
};

class flood
{
public:
    explicit flood(fleet_settings const& settings) : fleet(settings)
    {
        this->fleet.on_answer = [this](caller_answer const& answer)
        {
            this->resend(answer);
        };
    }
    flood(flood const&) = delete;
    flood& operator=(flood const&) = delete;

    void add(load const& arrivals)
    {
        random_source random(stable_hash(arrivals.target));
        duration const mean(
            static_cast<duration::rep>(1e6 / arrivals.per_second));
        duration when = arrivals.from;
        while (when < arrivals.until)
        {
            request_head head =
                make_head(arrivals.service,
                          arrivals.target,
                          arrivals.target + std::to_string(++this->last),
                          arrivals.method);
            head.caller = std::to_string(this->last % 50);
            this->fleet.submit(this->last % this->entrances, head, when);
            if (arrivals.max_resends > 0)
            {
                this->resendable[head.trace_id] = {head, arrivals.max_resends};
            }
            when += draw_jittered(random, mean, 1.0);
        }
    }

    // Rate of the target's requests sent in this interval that were answered by
    // an upstream with status 200, per second.
    double goodput(std::string_view target, duration from, duration until) const
    {
        return this->count(target, from, until, true) /
               (static_cast<double>((until - from).count()) / 1e6);
    }

    // Fraction of the target's requests sent in this interval that were served.
    double served_fraction(std::string_view target,
                           duration from,
                           duration until) const
    {
        return this->count(target, from, until, true) /
               this->count(target, from, until, false);
    }

    virtual_fleet fleet;
    std::size_t entrances = 1;

private:
    // A caller that was not served resends its request after a short delay.
    void resend(caller_answer const& answer)
    {
        auto const found = this->resendable.find(answer.trace_id);
        bool const is_good = answer.is_upstream_answer && answer.status == 200;
        if (found == this->resendable.end() || is_good ||
            found->second.second-- == 0)
        {
            return;
        }
        this->fleet.submit(
            ++this->last % this->entrances, found->second.first, resend_delay);
    }

    double count(std::string_view target,
                 duration from,
                 duration until,
                 bool only_good) const
    {
        instant const run_start = this->fleet.now() - this->length;
        double sum = 0;
        for (caller_answer const& answer : this->fleet.answers())
        {
            bool const is_in_span = answer.rank == target &&
                                    answer.sent_at >= run_start + from &&
                                    answer.sent_at < run_start + until;
            bool const is_good =
                answer.is_upstream_answer && answer.status == 200;
            sum += is_in_span && (is_good || !only_good) ? 1 : 0;
        }
        return sum;
    }

    static constexpr duration resend_delay = 20ms;
    std::uint64_t last = 0;
    std::map<std::string, std::pair<request_head, int>> resendable;

public:
    duration length = 20s;
};

constexpr double service_capacity = 1000;

upstream_plan twenty_slots(std::string service,
                           std::vector<std::string> downstream = {})
{
    upstream_plan plan;
    plan.service = std::move(service);
    plan.slots = 20;
    plan.service_time = 40ms;
    plan.downstream = std::move(downstream);
    plan.queue_limit = 0;
    return plan;
}

// Two nodes of one service with a combined capacity of 1000 requests per
// second.
void add_service(flood& test, std::string const& name)
{
    test.fleet.add(twenty_slots(name), "z1");
    test.fleet.add(twenty_slots(name), "z2");
}

fleet_settings flood_settings(bool is_policy_enabled = true)
{
    fleet_settings settings;
    settings.document = test_document();
    settings.is_policy_enabled = is_policy_enabled;
    return settings;
}

} // namespace

TEST_CASE("a load of twice the capacity is served at nearly the capacity")
{
    flood test(flood_settings());
    add_service(test, "a");
    test.entrances = 2;
    test.fleet.form();
    test.add({"a", "/browse", 2 * service_capacity, 0s, 20s});
    test.fleet.run_for(20s);
    double const goodput = test.goodput("/browse", 2s, 18s);
    INFO("goodput " << goodput);
    CHECK(goodput >= 0.9 * service_capacity);
}

TEST_CASE(
    "the most urgent rank is served during a flood of the least urgent one")
{
    flood test(flood_settings());
    add_service(test, "a");
    test.entrances = 2;
    test.fleet.form();
    test.add({"a", "/confirm", 0.3 * service_capacity, 0s, 20s, "POST"});
    test.add({"a", "/export", 10 * service_capacity, 4s, 16s});
    test.fleet.run_for(20s);
    double const served = test.served_fraction("/confirm", 0s, 20s);
    double const total =
        test.goodput("/confirm", 5s, 15s) + test.goodput("/export", 5s, 15s);
    INFO("served " << served << " goodput of both " << total);
    CHECK(served >= 0.99);
    CHECK(total >= 0.9 * service_capacity);
}

TEST_CASE(
    "the other ranks keep their shares during a flood of an unprotected one")
{
    flood test(flood_settings());
    add_service(test, "a");
    test.entrances = 2;
    test.fleet.form();
    test.add({"a", "/browse", 5 * service_capacity, 0s, 20s});
    test.add({"a", "/other", 0.3 * service_capacity, 0s, 20s});
    test.add({"a", "/export", 0.3 * service_capacity, 0s, 20s});
    test.fleet.run_for(20s);
    double const shared =
        admission::options{}.fair_share_fraction * service_capacity;
    double const worth_sum = 4;
    double const exported = test.goodput("/export", 2s, 18s);
    double const other = test.goodput("/other", 2s, 18s);
    INFO("export " << exported << " other " << other);
    CHECK(exported >= 0.9 * shared * 1 / worth_sum);
    CHECK(other >= 0.9 * shared * 1 / worth_sum);
}

namespace
{

// Goodput before, during and after a period in which the deepest service of a
// chain is twenty times slower, while callers resend requests that were not
// served.
struct slowdown_result
{
    double before = 0;
    double during = 0;
    double after = 0;
    std::uint64_t executions = 0;
};

void add_chain(flood& test)
{
    std::vector<std::string> const names{"a", "b", "c"};
    for (std::size_t index = 0; index < names.size(); ++index)
    {
        std::vector<std::string> downstream;
        if (index + 1 < names.size())
        {
            downstream.push_back(names[index + 1]);
        }
        test.fleet.add(twenty_slots(names[index], downstream), "z1");
        test.fleet.add(twenty_slots(names[index], downstream), "z2");
    }
}

slowdown_result run_slowdown(bool is_policy_enabled)
{
    flood test(flood_settings(is_policy_enabled));
    add_chain(test);
    test.entrances = 2;
    test.fleet.form();
    test.add({"a", "/browse", 200, 0s, 20s, "GET", 3});
    virtual_upstream& first = test.fleet.upstream(4);
    virtual_upstream& second = test.fleet.upstream(5);
    auto const set_time = [&](duration service_time)
    {
        first.plan.service_time = service_time;
        second.plan.service_time = service_time;
    };
    test.fleet.at(5s, [&] { set_time(800ms); });
    test.fleet.at(10s, [&] { set_time(40ms); });
    test.fleet.run_for(20s);
    return {test.goodput("/browse", 2s, 5s),
            test.goodput("/browse", 6s, 8s),
            test.goodput("/browse", 15s, 18s),
            first.executed + second.executed};
}

} // namespace

TEST_CASE("goodput recovers within five seconds after a deep service was slow")
{
    slowdown_result const result = run_slowdown(true);
    INFO("before " << result.before << " after " << result.after);
    CHECK(result.before > 0);
    CHECK(result.after >= 0.95 * result.before);
}

TEST_CASE("figures of a slow deep service with and without policy",
          "[.][figures]")
{
    for (bool is_enabled : {false, true})
    {
        slowdown_result const result = run_slowdown(is_enabled);
        std::cout << "policy " << is_enabled << " goodput before "
                  << result.before << " during " << result.during << " after "
                  << result.after << " executions of c " << result.executions
                  << '\n';
    }
}

TEST_CASE("figures of a flood with and without policy", "[.][figures]")
{
    for (bool is_enabled : {false, true})
    {
        flood test(flood_settings(is_enabled));
        add_service(test, "a");
        test.entrances = 2;
        test.fleet.form();
        test.add({"a", "/confirm", 0.3 * service_capacity, 0s, 20s, "POST"});
        test.add({"a", "/export", 10 * service_capacity, 4s, 16s});
        test.fleet.run_for(20s);
        std::cout << "policy " << is_enabled << " confirmations served "
                  << test.served_fraction("/confirm", 5s, 15s)
                  << " goodput of both "
                  << test.goodput("/confirm", 5s, 15s) +
                         test.goodput("/export", 5s, 15s)
                  << '\n';
    }
}
