#include "virtual_fleet.hpp"

#include "base/hash.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

// Open-loop arrivals of one rank at every node of the fleet in turn.
struct load
{
    std::string service;
    std::string target;
    double per_second = 0;
    duration from{};
    duration until{};
    std::string method = "GET";
    // Times that a caller repeats a request that was not answered whole.
    int hard_retries = 0;
};

class flood
{
public:
    explicit flood(fleet_settings const& settings) : fleet(settings) {}

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
            when += draw_jittered(random, mean, 1.0);
        }
    }

    // Requests of the target sent in this span that were answered whole with
    // status 200, per second.
    double goodput(std::string_view target, duration from, duration until) const
    {
        return this->count(target, from, until, true) /
               (static_cast<double>((until - from).count()) / 1e6);
    }

    // The served part of the target's requests sent in this span.
    double served(std::string_view target, duration from, duration until) const
    {
        return this->count(target, from, until, true) /
               this->count(target, from, until, false);
    }

    virtual_fleet fleet;
    std::size_t entrances = 1;

private:
    double count(std::string_view target,
                 duration from,
                 duration until,
                 bool only_good) const
    {
        instant const zero = this->fleet.now() - this->length;
        double sum = 0;
        for (caller_answer const& answer : this->fleet.answers())
        {
            bool const is_in_span = answer.rank == target &&
                                    answer.sent_at >= zero + from &&
                                    answer.sent_at < zero + until;
            bool const is_good = answer.is_whole && answer.status == 200;
            sum += is_in_span && (is_good || !only_good) ? 1 : 0;
        }
        return sum;
    }

    std::uint64_t last = 0;

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
    plan.own_queue = 0;
    return plan;
}

// Two nodes of one service, together good for 1000 requests a second.
void add_service(flood& test, std::string const& name)
{
    test.fleet.add(twenty_slots(name), "z1");
    test.fleet.add(twenty_slots(name), "z2");
}

flood make_flood(bool is_policy_enabled = true)
{
    fleet_settings settings;
    settings.document = test_document();
    settings.is_policy_enabled = is_policy_enabled;
    return flood(settings);
}

} // namespace

TEST_CASE("twice the capacity of one rank is served at nearly the capacity")
{
    flood test = make_flood();
    add_service(test, "a");
    test.entrances = 2;
    test.fleet.form();
    test.add({"a", "/browse", 2 * service_capacity, 0s, 20s});
    test.fleet.run_for(20s);
    double const goodput = test.goodput("/browse", 2s, 18s);
    INFO("goodput " << goodput);
    CHECK(goodput >= 0.9 * service_capacity);
}

TEST_CASE("the most urgent rank is served while the least urgent floods")
{
    flood test = make_flood();
    add_service(test, "a");
    test.entrances = 2;
    test.fleet.form();
    test.add({"a", "/confirm", 0.3 * service_capacity, 0s, 20s, "POST"});
    test.add({"a", "/export", 10 * service_capacity, 4s, 16s});
    test.fleet.run_for(20s);
    double const served = test.served("/confirm", 0s, 20s);
    double const total =
        test.goodput("/confirm", 5s, 15s) + test.goodput("/export", 5s, 15s);
    INFO("served " << served << " goodput of both " << total);
    CHECK(served >= 0.99);
    CHECK(total >= 0.9 * service_capacity);
}

TEST_CASE("the other ranks keep their shares while an unprotected one floods")
{
    flood test = make_flood();
    add_service(test, "a");
    test.entrances = 2;
    test.fleet.form();
    test.add({"a", "/browse", 5 * service_capacity, 0s, 20s});
    test.add({"a", "/other", 0.3 * service_capacity, 0s, 20s});
    test.add({"a", "/export", 0.3 * service_capacity, 0s, 20s});
    test.fleet.run_for(20s);
    double const shared =
        admission::options{}.shared_fraction * service_capacity;
    double const worth_sum = 4;
    double const exported = test.goodput("/export", 2s, 18s);
    double const other = test.goodput("/other", 2s, 18s);
    INFO("export " << exported << " other " << other);
    CHECK(exported >= 0.9 * shared * 1 / worth_sum);
    CHECK(other >= 0.9 * shared * 1 / worth_sum);
}

TEST_CASE("goodput returns within five seconds of a slow deep service's end")
{
    flood test = make_flood();
    test.fleet.add(twenty_slots("a", {"b"}), "z1");
    test.fleet.add(twenty_slots("a", {"b"}), "z2");
    test.fleet.add(twenty_slots("b"), "z1");
    test.fleet.add(twenty_slots("b"), "z2");
    test.entrances = 2;
    test.fleet.form();
    test.add({"a", "/browse", 0.4 * service_capacity, 0s, 20s});
    for (std::size_t node : {2U, 3U})
    {
        test.fleet.at(5s,
                      [&test, node]()
                      { test.fleet.upstream(node).plan.service_time = 800ms; });
        test.fleet.at(10s,
                      [&test, node]()
                      { test.fleet.upstream(node).plan.service_time = 40ms; });
    }
    test.fleet.run_for(20s);
    double const before = test.goodput("/browse", 2s, 5s);
    double const after = test.goodput("/browse", 15s, 18s);
    INFO("before " << before << " after " << after);
    CHECK(after >= 0.95 * before);
}
