// Random schedules of faults, in which no key may be executed more than once.
#include "once/tests/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaintally;
using namespace plantaintally::once;
using namespace plantaintally::once::test;

namespace
{

constexpr std::size_t node_count = 5;
// Low enough for key tables to fill up.
constexpr std::uint32_t max_keys_per_node = 7;
constexpr int steps_per_schedule = 120;
constexpr std::uint64_t min_total_epochs = 200;

struct totals
{
    std::uint64_t executions = 0;
    std::uint64_t repeats = 0;
    std::uint64_t redirects = 0;
    std::uint64_t refusals = 0;
    std::uint64_t not_run = 0;
    std::uint64_t deferred = 0;
    std::uint64_t epochs = 0;
};

// One schedule: a fleet, the keys claimed so far, and the running executions.
struct schedule
{
    fleet nodes;
    std::vector<std::string> keys;
    std::vector<exchange_id> running;
    random_source rng;
    totals& sum;

    schedule(std::uint64_t seed, totals& totals_so_far)
        : nodes(node_count, seed, max_keys_per_node), rng(seed),
          sum(totals_so_far)
    {
        this->nodes.network.loss = 0.05;
    }

    std::size_t draw(std::size_t bound)
    {
        return draw_below(this->rng, bound);
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

    void count(claim_decision const& decision)
    {
        if (auto const* refused = std::get_if<refuse_key>(&decision))
        {
            ++this->sum.refusals;
            this->sum.not_run += refused->outcome == verdict::not_run ? 1 : 0;
        }
        this->sum.repeats +=
            std::holds_alternative<join_running>(decision) ||
                    std::holds_alternative<replay_answer>(decision)
                ? 1
                : 0;
        this->sum.redirects += std::holds_alternative<redirect_claim>(decision);
        this->sum.deferred += std::holds_alternative<decide_later>(decision);
    }

    // Claims a key at one node and, half of the time, at another one as well.
    void submit_claim()
    {
        std::string const key = this->draw_key();
        this->submit_claim_at(this->draw_node(), key);
        if (this->draw(2) == 0)
        {
            this->submit_claim_at(this->draw_node(), key);
        }
    }

    // Claims a key at a node and follows redirections, as the caller's node
    // does.
    void submit_claim_at(std::string address, std::string const& key)
    {
        for (int hop = 0; hop < 3; ++hop)
        {
            process const& node = this->nodes.at(address);
            bool const is_reachable =
                node.is_alive &&
                node.paused_until <= instant(this->nodes.elapsed());
            if (!is_reachable)
            {
                return;
            }
            claim_decision const decision =
                this->nodes.submit_claim(address, key);
            this->count(decision);
            if (std::holds_alternative<run_now>(decision))
            {
                this->running.push_back(this->nodes.last_exchange());
            }
            auto const* elsewhere = std::get_if<redirect_claim>(&decision);
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
        exchange_id const finished = this->running.back();
        this->running.pop_back();
        bool const has_run = this->draw(4) != 0;
        this->nodes.finish(finished,
                           has_run ? verdict::ran : verdict::not_run,
                           has_run ? finished.value : 0);
    }

    void inject_fault()
    {
        std::string const address = this->draw_node();
        switch (this->draw(11))
        {
        case 0:
            this->nodes.crash(address);
            this->nodes.update_members();
            break;
        case 1:
        case 2:
            this->nodes.restart(address);
            this->nodes.update_members();
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
            this->nodes.update_members({address});
            break;
        case 7:
            this->nodes.is_store_down = this->draw(2) == 0;
            this->nodes.drops_store_replies = this->draw(4) == 0;
            break;
        case 8:
        case 9:
            this->nodes.isolate(address);
            this->nodes.update_members({address});
            break;
        default:
            this->nodes.update_members();
            break;
        }
    }

    void run()
    {
        this->nodes.run_for(seconds(8));
        for (int i = 0; i < steps_per_schedule; ++i)
        {
            std::size_t const action = this->draw(20);
            if (action < 13)
            {
                this->submit_claim();
            }
            else if (action < 16)
            {
                this->finish();
            }
            else if (action < 18)
            {
                this->inject_fault();
            }
            this->nodes.run_for(milliseconds(this->draw(2500)));
        }
    }
};

} // namespace

TEST_CASE(
    "no schedule of faults makes a key run twice or a not-run verdict false")
{
    totals sum;
    bool const holds = rc::check(
        [&sum]
        {
            auto const seed = *rc::gen::arbitrary<std::uint32_t>();
            schedule scenario(seed, sum);
            scenario.run();
            for (std::string const& key : scenario.keys)
            {
                RC_ASSERT(scenario.nodes.executions(key) <= 1);
                sum.executions +=
                    static_cast<std::uint64_t>(scenario.nodes.executions(key));
            }
            RC_ASSERT(scenario.nodes.wrong_not_run_keys.empty());
            sum.epochs += scenario.nodes.newest_known_epoch()->number;
        });
    CHECK(holds);
    INFO("executions " << sum.executions << " repeats " << sum.repeats
                       << " redirects " << sum.redirects << " refusals "
                       << sum.refusals << " not-run " << sum.not_run
                       << " deferred " << sum.deferred << " epochs "
                       << sum.epochs);
    // The schedules exercise the paths that they are meant to test.
    CHECK(sum.executions > 100);
    CHECK(sum.repeats > 100);
    CHECK(sum.deferred > 10);
    CHECK(sum.not_run > 10);
    CHECK(sum.epochs > min_total_epochs);
}
