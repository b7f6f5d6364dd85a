// Random schedules of faults: at most one execution of a key, ever.
#include "once/tests/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaintally;
using namespace plantaintally::once;
using namespace plantaintally::once::test;

namespace
{

constexpr std::size_t node_count = 5;
// Few enough for tables to fill up.
constexpr std::uint32_t few_keys = 7;
constexpr int steps_per_schedule = 120;
constexpr std::uint64_t least_epochs = 200;

struct totals
{
    std::uint64_t executions = 0;
    std::uint64_t repeats = 0;
    std::uint64_t redirects = 0;
    std::uint64_t refusals = 0;
    std::uint64_t not_run = 0;
    std::uint64_t put_off = 0;
    std::uint64_t epochs = 0;
};

// One schedule: a fleet, the keys asked so far, and the executions under way.
struct schedule
{
    fleet nodes;
    std::vector<std::string> keys;
    std::vector<exchange_id> running;
    random_source chance;
    totals& sum;

    schedule(std::uint64_t seed, totals& counted)
        : nodes(node_count, seed, few_keys), chance(seed), sum(counted)
    {
        this->nodes.network.loss = 0.05;
    }

    std::size_t draw(std::size_t bound)
    {
        return draw_below(this->chance, bound);
    }

    std::string draw_node()
    {
        std::vector<std::string> const all = this->nodes.addresses();
        return all[this->draw(all.size())];
    }

    std::string draw_key()
    {
        bool const is_new = this->keys.empty() || this->draw(4) == 0;
        if (is_new)
        {
            int const number = static_cast<int>(this->keys.size());
            bool const is_time_ordered = this->draw(4) != 0;
            this->keys.push_back(is_time_ordered
                                     ? make_key(this->nodes.elapsed(), number)
                                     : "key-" + std::to_string(number));
            return this->keys.back();
        }
        std::size_t const recent = std::min<std::size_t>(this->keys.size(), 12);
        return this->keys[this->keys.size() - 1 - this->draw(recent)];
    }

    void count(claim_decision const& made)
    {
        if (auto const* refused = std::get_if<refuse_key>(&made))
        {
            ++this->sum.refusals;
            this->sum.not_run += refused->outcome == verdict::not_run ? 1 : 0;
        }
        this->sum.repeats += std::holds_alternative<join_running>(made) ||
                                     std::holds_alternative<replay_answer>(made)
                                 ? 1
                                 : 0;
        this->sum.redirects += std::holds_alternative<redirect_claim>(made);
        this->sum.put_off += std::holds_alternative<decide_later>(made);
    }

    // A caller tries one node and often another one soon after.
    void ask()
    {
        std::string const key = this->draw_key();
        this->ask_at(this->draw_node(), key);
        if (this->draw(2) == 0)
        {
            this->ask_at(this->draw_node(), key);
        }
    }

    // Asks at a node and follows redirections, as a caller's node does.
    void ask_at(std::string address, std::string const& key)
    {
        for (int hop = 0; hop < 3; ++hop)
        {
            process const& asked = this->nodes.at(address);
            bool const is_reachable =
                asked.is_alive &&
                asked.paused_until <= instant(this->nodes.elapsed());
            if (!is_reachable)
            {
                return;
            }
            claim_decision const made = this->nodes.ask(address, key);
            this->count(made);
            if (std::holds_alternative<run_now>(made))
            {
                this->running.push_back(this->nodes.last_exchange());
            }
            auto const* elsewhere = std::get_if<redirect_claim>(&made);
            if (elsewhere == nullptr)
            {
                return;
            }
            address = elsewhere->address;
        }
    }

    void finish()
    {
        if (this->running.empty())
        {
            return;
        }
        exchange_id const ended = this->running.back();
        this->running.pop_back();
        bool const has_run = this->draw(4) != 0;
        this->nodes.finish(ended,
                           has_run ? verdict::ran : verdict::not_run,
                           has_run ? ended.value : 0);
    }

    void fail_something()
    {
        std::string const address = this->draw_node();
        switch (this->draw(11))
        {
        case 0:
            this->nodes.crash(address);
            this->nodes.spread_members();
            break;
        case 1:
        case 2:
            this->nodes.restart(address);
            this->nodes.spread_members();
            break;
        case 3:
            this->nodes.pause(address, seconds(1 + this->draw(15)));
            break;
        case 4:
            this->nodes.disconnect(address, this->draw_node());
            break;
        case 5:
            this->nodes.connect_all();
            break;
        case 6:
            this->nodes.spread_members({address});
            break;
        case 7:
            this->nodes.is_store_down = this->draw(2) == 0;
            this->nodes.loses_store_answers = this->draw(4) == 0;
            break;
        case 8:
        case 9:
            this->nodes.isolate(address);
            this->nodes.spread_members({address});
            break;
        default:
            this->nodes.spread_members();
            break;
        }
    }

    void run()
    {
        this->nodes.run_for(seconds(8));
        for (int i = 0; i < steps_per_schedule; ++i)
        {
            std::size_t const kind = this->draw(20);
            if (kind < 13)
            {
                this->ask();
            }
            else if (kind < 16)
            {
                this->finish();
            }
            else if (kind < 18)
            {
                this->fail_something();
            }
            this->nodes.run_for(milliseconds(this->draw(2500)));
        }
    }
};

} // namespace

TEST_CASE("no schedule of faults lets a key run twice or belies not-run")
{
    totals sum;
    bool const holds = rc::check(
        [&sum]
        {
            auto const seed = *rc::gen::arbitrary<std::uint32_t>();
            schedule tried(seed, sum);
            tried.run();
            for (std::string const& key : tried.keys)
            {
                RC_ASSERT(tried.nodes.executions(key) <= 1);
                sum.executions +=
                    static_cast<std::uint64_t>(tried.nodes.executions(key));
            }
            RC_ASSERT(tried.nodes.false_refusals.empty());
            sum.epochs += tried.nodes.newest_known()->number;
        });
    CHECK(holds);
    INFO("executions " << sum.executions << " repeats " << sum.repeats
                       << " redirects " << sum.redirects << " refusals "
                       << sum.refusals << " not-run " << sum.not_run
                       << " put off " << sum.put_off << " epochs "
                       << sum.epochs);
    // The schedules reach the steps that they are meant to test.
    CHECK(sum.executions > 100);
    CHECK(sum.repeats > 100);
    CHECK(sum.put_off > 10);
    CHECK(sum.not_run > 10);
    CHECK(sum.epochs > least_epochs);
}
