#include "admission/admission.hpp"
#include "admission/entrance_gate.hpp"
#include "base/random.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <map>
#include <queue>
#include <variant>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::admission;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view service = "front";
constexpr std::string_view rank = "browsing";
constexpr std::size_t entrances = 8;
constexpr duration service_time = 20ms;
constexpr std::uint32_t slots = 20;
constexpr int calls_per_chain = 4;
// Chains that the service can serve a second if it spends no work on chains
// that fail.
constexpr double ceiling_per_second = 20 / 0.020 / calls_per_chain;

struct load_plan
{
    // Chains offered, as a multiple of the ceiling.
    double load = 1;
    std::uint64_t seed = 7;
    bool has_gate = true;
    duration aim = 1s;
    duration deadline = 2500ms;
    duration from = 2s;
    duration until = 14s;
    // After this time the load is half of the ceiling.
    duration load_until = 14s;
};

struct load_result
{
    double in_aim_per_second = 0;
    double late_per_second = 0;
    double failed_per_second = 0;
    // Longest time from an arrival to its refusal at the entrance.
    duration slowest_refusal{};
    int refused = 0;
    // Fraction of the chains served that arrived in the last second.
    double served_at_end = 0;

    double share_of_ceiling() const
    {
        return this->in_aim_per_second / ceiling_per_second;
    }
};

struct chain
{
    instant arrived_at{};
    std::size_t entrance = 0;
    int calls_done = 0;
};

// Chains of sequential calls to one service, in virtual time: the real gate at
// each entrance, and the real admission beside the service's only upstream.
class chain_load
{
public:
    explicit chain_load(load_plan const& new_plan)
        : plan(new_plan), gates(entrances), random(new_plan.seed)
    {
        open(this->admission, slots, 0ms, instant{});
    }

    load_result run()
    {
        this->schedule(0ms, arrival{});
        this->schedule(check_interval, expiry_check{});
        while (!this->events.empty())
        {
            scheduled next = this->events.top();
            this->events.pop();
            this->now = next.when;
            if (this->now > instant{} + this->plan.until + 3s)
            {
                break;
            }
            std::visit([this](auto const& event) { this->handle(event); },
                       next.what);
        }
        double const seconds =
            std::chrono::duration<double>(this->plan.until - this->plan.from)
                .count();
        this->result.in_aim_per_second = this->in_aim / seconds;
        this->result.late_per_second = this->late / seconds;
        this->result.failed_per_second = this->failed / seconds;
        this->result.served_at_end =
            this->last_second_served / std::max(this->last_second_arrived, 1.0);
        return this->result;
    }

private:
    struct arrival
    {
    };
    struct call_finished
    {
        exchange_id id;
    };
    struct expiry_check
    {
    };
    using event = std::variant<arrival, call_finished, expiry_check>;
    struct scheduled
    {
        instant when{};
        std::uint64_t order = 0;
        event what;
        bool operator<(scheduled const& other) const
        {
            return std::pair(other.when, other.order) <
                   std::pair(this->when, this->order);
        }
    };

    static constexpr duration check_interval = 5ms;

    load_plan plan;
    std::vector<entrance_gate> gates;
    state admission;
    random_source random;
    instant now{};
    std::uint64_t last_id = 0;
    std::uint64_t last_order = 0;
    std::map<exchange_id, chain> chains;
    std::priority_queue<scheduled> events;
    load_result result;
    double in_aim = 0;
    double late = 0;
    double failed = 0;
    double last_second_arrived = 0;
    double last_second_served = 0;

    void schedule(duration delay, event what)
    {
        this->events.push({this->now + delay, ++this->last_order, what});
    }

    bool is_in_last_second(chain const& each) const
    {
        instant const end = instant{} + this->plan.until;
        return each.arrived_at >= end - 1s && each.arrived_at < end;
    }

    bool is_counted(chain const& each) const
    {
        return each.arrived_at >= instant{} + this->plan.from &&
               each.arrived_at < instant{} + this->plan.until;
    }

    void handle(arrival const&)
    {
        bool const is_loaded = this->now < instant{} + this->plan.load_until;
        double const per_second =
            ceiling_per_second * (is_loaded ? this->plan.load : 0.5);
        if (this->now < instant{} + this->plan.until)
        {
            this->schedule(draw_jittered(this->random,
                                         duration(static_cast<std::int64_t>(
                                             1e6 / per_second)),
                                         1.0),
                           arrival{});
        }
        exchange_id const id{++this->last_id};
        chain fresh{this->now, this->last_id % entrances, 0};
        this->last_second_arrived += this->is_in_last_second(fresh) ? 1 : 0;
        if (this->plan.has_gate && !may_enter(this->gates[fresh.entrance],
                                              service,
                                              rank,
                                              this->random,
                                              this->now))
        {
            ++this->result.refused;
            return;
        }
        this->chains[id] = fresh;
        this->call(id);
    }

    void call(exchange_id id)
    {
        pending_request request;
        request.exchange = id;
        request.rank = rank;
        request.caller = "caller";
        request.deadline = this->chains[id].arrived_at + this->plan.deadline;
        auto const offered = offer(this->admission, request, this->now);
        this->fail(offered.shed);
        if (offered.kind == offer_kind::refused)
        {
            this->end(id, false);
        }
        if (offered.kind == offer_kind::admitted)
        {
            this->start(id);
        }
    }

    void start(exchange_id id)
    {
        this->schedule(draw_jittered(this->random, service_time, 0.3),
                       call_finished{id});
    }

    void handle(call_finished const& finished)
    {
        load_sample sample;
        sample.total = service_time;
        sample.own_time = service_time;
        finish(this->admission, rank, sample, this->now);
        auto const found = this->chains.find(finished.id);
        if (found != this->chains.end())
        {
            if (++found->second.calls_done == calls_per_chain)
            {
                this->end(finished.id, true);
            }
            else
            {
                this->call(finished.id);
            }
        }
        this->serve_queue();
    }

    void handle(expiry_check const&)
    {
        this->fail(take_expired(this->admission, this->now));
        this->serve_queue();
        this->schedule(check_interval, expiry_check{});
    }

    void serve_queue()
    {
        while (auto const next = take_next(this->admission, this->now))
        {
            this->start(next->exchange);
        }
    }

    void fail(std::vector<refused_request> const& refused)
    {
        for (refused_request const& each : refused)
        {
            this->end(each.item.exchange, false);
        }
    }

    void end(exchange_id id, bool is_served)
    {
        auto const found = this->chains.find(id);
        if (found == this->chains.end())
        {
            return;
        }
        chain const ended = found->second;
        this->chains.erase(found);
        note_finished(this->gates[ended.entrance],
                      service,
                      rank,
                      {ended.arrived_at, !is_served},
                      this->now);
        if (is_served && this->is_in_last_second(ended))
        {
            ++this->last_second_served;
        }
        if (!this->is_counted(ended))
        {
            return;
        }
        bool const is_in_aim = this->now - ended.arrived_at <= this->plan.aim;
        this->failed += is_served ? 0 : 1;
        this->in_aim += is_served && is_in_aim ? 1 : 0;
        this->late += is_served && !is_in_aim ? 1 : 0;
    }
};

load_result play(double load, bool has_gate, std::uint64_t seed = 7)
{
    load_plan plan;
    plan.load = load;
    plan.seed = seed;
    plan.has_gate = has_gate;
    return chain_load(plan).run();
}

} // namespace

TEST_CASE("chains are served in aim up to the capacity of their last service")
{
    auto const mean_share = [](double load)
    {
        constexpr std::uint64_t runs = 5;
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= runs; ++seed)
        {
            sum += play(load, true, seed).share_of_ceiling();
        }
        return sum / runs;
    };
    CHECK(mean_share(0.8) >= 0.76);
    CHECK(mean_share(2) >= 0.9);
    CHECK(mean_share(5) >= 0.85);
}

TEST_CASE(
    "without the gate, overload lets most chains fail after work was spent")
{
    load_result const without = play(3, false);
    load_result const with = play(3, true);
    CHECK(with.failed_per_second < without.failed_per_second / 4);
    CHECK(with.in_aim_per_second > 1.5 * without.in_aim_per_second);
}

TEST_CASE("two seconds after an overload every chain is served again")
{
    load_plan plan;
    plan.seed = GENERATE(1, 2, 3, 4, 5);
    CAPTURE(plan.seed);
    plan.load = 5;
    plan.load_until = 8s;
    plan.until = 11s;
    CHECK(chain_load(plan).run().served_at_end >= 0.98);
}

TEST_CASE("one failure in light traffic hardly closes the gate")
{
    entrance_gate gate;
    instant const now{100s};
    note_finished(gate, service, rank, {now, true}, now + 100ms);
    CHECK(entrance_share(gate, service, rank) >= 0.9);
}

TEST_CASE("chains of calls by load, in shares of the ceiling", "[figures]")
{
    std::cout << "load  gate  in aim  late  failed  refused\n";
    for (double const load : {0.8, 1.0, 1.5, 2.0, 3.0, 5.0})
    {
        for (bool const has_gate : {false, true})
        {
            auto const played = play(load, has_gate);
            std::cout << load << "  " << has_gate << "  "
                      << played.share_of_ceiling() << "  "
                      << played.late_per_second / ceiling_per_second << "  "
                      << played.failed_per_second / ceiling_per_second << "  "
                      << played.refused << "\n";
        }
    }
}
