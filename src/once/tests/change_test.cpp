// Claims of keys whose home changes with a new epoch.
#include "once/tests/fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::once;
using namespace plantaintally::once::test;

namespace
{

// Long enough for an epoch to be agreed on, fenced and vouched for.
constexpr duration settling_time = seconds(14);

bool is_run_now(claim_decision const& decision)
{
    return std::holds_alternative<run_now>(decision);
}

bool is_refused(claim_decision const& decision, verdict outcome, refusal reason)
{
    auto const* refused = std::get_if<refuse_key>(&decision);
    return refused != nullptr && refused->outcome == outcome &&
           refused->reason == reason;
}

bool is_history_unknown(claim_decision const& decision)
{
    return is_refused(
        decision, verdict::may_have_run, refusal::key_history_unknown);
}

// Five nodes that have agreed on one epoch, and a key created then whose home
// is the first of them.
struct fleet_with_home
{
    fleet nodes{5};
    std::string old_home;
    std::string key;

    fleet_with_home()
    {
        this->nodes.run_for(settling_time);
        this->old_home = this->nodes.addresses().front();
        this->key = this->nodes.new_key_with_home(this->old_home,
                                                  this->nodes.elapsed());
    }

    // Keys whose home is the old home and that aren't time-ordered.
    std::vector<std::string> keys_without_timestamp(std::size_t count)
    {
        std::vector<std::string> found;
        for (int i = 0; found.size() < count; ++i)
        {
            std::string const name = "key-" + std::to_string(i);
            if (this->nodes.home(name) == this->old_home)
            {
                found.push_back(name);
            }
        }
        return found;
    }

    // Removes the old home from the membership and waits for the next epoch.
    // Returns the key's new home.
    std::string replace_home()
    {
        this->nodes.update_members({this->old_home});
        this->nodes.run_for(settling_time);
        return this->nodes.home(this->key);
    }

    bool is_open(std::string const& address)
    {
        cell_state const& cell =
            this->nodes.at(address).once.cells.begin()->second;
        return address != this->old_home &&
               cell.epochs.back().opened_at.has_value();
    }

    // The decision on a claim of the key; waits for it if it is deferred.
    claim_decision submit_claim(std::string const& address)
    {
        claim_decision decision = this->nodes.submit_claim(address, this->key);
        if (!std::holds_alternative<decide_later>(decision))
        {
            return decision;
        }
        exchange_id const deferred = this->nodes.last_exchange();
        this->nodes.run_for(seconds(1));
        std::optional<claim_decision> const resolved =
            this->nodes.resolved_decision(deferred);
        REQUIRE(resolved.has_value());
        return *resolved;
    }
};

} // namespace

TEST_CASE("a key whose home has crashed is not run again")
{
    fleet_with_home scenario;
    REQUIRE(is_run_now(scenario.submit_claim(scenario.old_home)));
    scenario.nodes.crash(scenario.old_home);
    std::string const home = scenario.replace_home();
    REQUIRE(home != scenario.old_home);
    CHECK(is_history_unknown(scenario.submit_claim(home)));
}

TEST_CASE("a key created after the change runs at once")
{
    fleet_with_home scenario;
    scenario.nodes.crash(scenario.old_home);
    scenario.replace_home();
    std::string const home = scenario.nodes.addresses().back();
    std::string const new_key =
        scenario.nodes.new_key_with_home(home, scenario.nodes.elapsed());
    CHECK(is_run_now(scenario.nodes.submit_claim(home, new_key)));
}

TEST_CASE("a moved key that its previous home never saw runs")
{
    fleet_with_home scenario;
    std::string const home = scenario.replace_home();
    CHECK(is_run_now(scenario.submit_claim(home)));
    CHECK(scenario.nodes.executions(scenario.key) == 1);
}

TEST_CASE("a moved key runs at once if its previous home has stopped")
{
    fleet_with_home scenario;
    scenario.nodes.update_members({scenario.old_home});
    scenario.nodes.run_for(seconds(2));
    std::string const home = scenario.nodes.home(scenario.key);
    REQUIRE(home != scenario.old_home);
    REQUIRE_FALSE(scenario.is_open(home));
    CHECK(is_run_now(scenario.submit_claim(home)));
    claim_decision const late = scenario.submit_claim(scenario.old_home);
    REQUIRE(std::holds_alternative<redirect_claim>(late));
    CHECK(std::get<redirect_claim>(late).address == home);
}

TEST_CASE("a moved key is refused until the fence if its previous home is gone")
{
    fleet_with_home scenario;
    scenario.nodes.crash(scenario.old_home);
    scenario.nodes.update_members();
    scenario.nodes.run_for(seconds(2));
    std::string const home = scenario.nodes.home(scenario.key);
    REQUIRE_FALSE(scenario.is_open(home));
    CHECK(is_history_unknown(scenario.submit_claim(home)));
    scenario.nodes.run_for(settling_time);
    CHECK(scenario.is_open(home));
}

TEST_CASE("a moved key that its previous home has executed is redirected there")
{
    fleet_with_home scenario;
    REQUIRE(is_run_now(scenario.submit_claim(scenario.old_home)));
    scenario.nodes.finish(scenario.nodes.last_exchange(), verdict::ran, 4);
    std::string const home = scenario.replace_home();
    claim_decision const decision = scenario.submit_claim(home);
    REQUIRE(std::holds_alternative<redirect_claim>(decision));
    CHECK(std::get<redirect_claim>(decision).address == scenario.old_home);
    CHECK(std::holds_alternative<replay_answer>(
        scenario.submit_claim(scenario.old_home)));
}

TEST_CASE("a key that isn't time-ordered is refused during the guard window")
{
    fleet_with_home scenario;
    scenario.key = scenario.keys_without_timestamp(1).front();
    scenario.nodes.crash(scenario.old_home);
    std::string const home = scenario.replace_home();
    CHECK(is_history_unknown(scenario.submit_claim(home)));
    scenario.nodes.run_for(std::chrono::minutes(11));
    CHECK(is_run_now(scenario.submit_claim(home)));
}

TEST_CASE("a key of a paused home that may still dispatch it is not run again")
{
    fleet_with_home scenario;
    REQUIRE(is_run_now(scenario.submit_claim(scenario.old_home)));
    scenario.nodes.pause(scenario.old_home, seconds(60));
    std::string const home = scenario.replace_home();
    CHECK(is_history_unknown(scenario.submit_claim(home)));
    CHECK(scenario.nodes.executions(scenario.key) == 1);
}

TEST_CASE("an isolated home stops accepting keys before the next epoch opens")
{
    fleet_with_home scenario;
    std::vector<std::string> const keys = scenario.keys_without_timestamp(1000);
    scenario.nodes.isolate(scenario.old_home);
    scenario.nodes.update_members({scenario.old_home});
    duration last_accepted{};
    duration opened{};
    for (std::string const& key : keys)
    {
        scenario.nodes.run_for(milliseconds(10));
        duration const now = scenario.nodes.elapsed();
        if (is_run_now(scenario.nodes.submit_claim(scenario.old_home, key)))
        {
            last_accepted = now;
        }
        bool const is_open =
            scenario.is_open(scenario.nodes.home(scenario.key));
        if (opened == duration{} && is_open)
        {
            opened = now;
        }
    }
    CHECK(last_accepted > settling_time);
    CHECK(opened > last_accepted);
}

TEST_CASE("an isolated home stops accepting keys once its vouches expire")
{
    fleet_with_home scenario;
    scenario.nodes.isolate(scenario.old_home);
    scenario.nodes.run_for(seconds(4));
    CHECK(is_refused(scenario.submit_claim(scenario.old_home),
                     verdict::may_have_run,
                     refusal::key_home_fenced));
    scenario.nodes.connect_all();
    scenario.nodes.run_for(seconds(2));
    CHECK(is_run_now(scenario.submit_claim(scenario.old_home)));
}

TEST_CASE("a change of epoch does not interrupt keys whose home stays the same")
{
    fleet_with_home scenario;
    std::string const unchanged_home = scenario.nodes.addresses().back();
    epoch const before = *scenario.nodes.newest_known_epoch();
    scenario.nodes.crash(scenario.old_home);
    scenario.nodes.update_members();
    int asked = 0;
    int refused = 0;
    for (int i = 0; i < 1000; ++i)
    {
        scenario.nodes.run_for(milliseconds(10));
        std::string const key = scenario.nodes.new_key_with_home(
            unchanged_home, scenario.nodes.elapsed());
        if (home_of(before, key)->address == unchanged_home)
        {
            ++asked;
            refused +=
                is_run_now(scenario.nodes.submit_claim(unchanged_home, key))
                    ? 0
                    : 1;
        }
    }
    CHECK(asked > 500);
    CHECK(scenario.nodes.newest_known_epoch()->number == 2);
    CHECK(refused == 0);
}

TEST_CASE("keys are accepted while the store is down and no member changes")
{
    fleet_with_home scenario;
    scenario.nodes.is_store_down = true;
    scenario.nodes.run_for(std::chrono::minutes(10));
    scenario.key = scenario.nodes.new_key_with_home(scenario.old_home,
                                                    scenario.nodes.elapsed());
    CHECK(is_run_now(scenario.submit_claim(scenario.old_home)));
}

TEST_CASE("keys of a crashed home are redirected to it while the store is down")
{
    fleet_with_home scenario;
    scenario.nodes.is_store_down = true;
    scenario.nodes.crash(scenario.old_home);
    scenario.nodes.update_members();
    scenario.nodes.run_for(std::chrono::minutes(1));
    std::string const other = scenario.nodes.addresses().back();
    claim_decision const decision = scenario.submit_claim(other);
    REQUIRE(std::holds_alternative<redirect_claim>(decision));
    CHECK(std::get<redirect_claim>(decision).address == scenario.old_home);
    scenario.nodes.is_store_down = false;
    scenario.nodes.run_for(seconds(40));
    scenario.key =
        scenario.nodes.new_key_with_home(other, scenario.nodes.elapsed());
    CHECK(is_run_now(scenario.submit_claim(other)));
}

TEST_CASE("a lost reply to a write leaves one epoch that all nodes agree on")
{
    fleet_with_home scenario;
    scenario.nodes.drops_store_replies = true;
    scenario.nodes.update_members({scenario.old_home});
    scenario.nodes.run_for(seconds(5));
    scenario.nodes.drops_store_replies = false;
    scenario.nodes.run_for(seconds(40));
    CHECK(scenario.nodes.newest_known_epoch()->number == 2);
    CHECK(scenario.nodes.store.begin()->second.revision == 2);
    CHECK(scenario.nodes.home(scenario.key) != scenario.old_home);
}

TEST_CASE("racing proposers agree on one epoch")
{
    fleet_with_home scenario;
    std::set<std::string> const halves[] = {{scenario.nodes.addresses()[0]},
                                            {scenario.nodes.addresses()[4]}};
    scenario.nodes.update_members(halves[0]);
    scenario.nodes.update_members_at(scenario.nodes.addresses()[0], halves[1]);
    scenario.nodes.run_for(seconds(3));
    scenario.nodes.update_members();
    scenario.nodes.run_for(seconds(40));
    for (std::string const& address : scenario.nodes.addresses())
    {
        cell_state const& cell =
            scenario.nodes.at(address).once.cells.begin()->second;
        CHECK(cell.epochs.back().content ==
              *scenario.nodes.newest_known_epoch());
        CHECK(cell.epochs.back().opened_at.has_value());
    }
}

TEST_CASE("a change of members costs one write and no read")
{
    fleet_with_home scenario;
    std::size_t const reads = scenario.nodes.store_reads;
    std::size_t const writes = scenario.nodes.store_writes;
    scenario.nodes.crash(scenario.old_home);
    scenario.nodes.update_members();
    scenario.nodes.run_for(std::chrono::minutes(2));
    CHECK(scenario.nodes.newest_known_epoch()->members.size() == 4);
    CHECK(scenario.nodes.store_writes - writes == 1);
    CHECK(scenario.nodes.store_reads - reads == 0);
}

TEST_CASE("a started voucher does not vouch for the lifetime of a vouch")
{
    fleet nodes(1);
    nodes.run_for(seconds(2));
    std::string const home = nodes.addresses().front();
    CHECK(is_refused(nodes.submit_claim(home, "a"),
                     verdict::may_have_run,
                     refusal::key_home_fenced));
    nodes.run_for(seconds(4));
    CHECK(is_run_now(nodes.submit_claim(home, "a")));
}

TEST_CASE("restarted processes at the vouchers' addresses fence the epoch")
{
    fleet_with_home scenario;
    for (std::string const& address : scenario.nodes.addresses())
    {
        scenario.nodes.restart(address);
    }
    scenario.nodes.update_members();
    scenario.nodes.run_for(seconds(30));
    std::string const home = scenario.nodes.home(scenario.key);
    CHECK(is_history_unknown(scenario.submit_claim(home)));
    scenario.key =
        scenario.nodes.new_key_with_home(home, scenario.nodes.elapsed());
    CHECK(is_run_now(scenario.submit_claim(home)));
}

TEST_CASE("a leaving home may stop once it has handed its keys over")
{
    fleet_with_home scenario;
    REQUIRE(is_run_now(scenario.submit_claim(scenario.old_home)));
    exchange_id const running = scenario.nodes.last_exchange();
    std::string const unused = scenario.nodes.new_key_with_home(
        scenario.old_home, scenario.nodes.elapsed());
    process& leaving = scenario.nodes.at(scenario.old_home);
    scenario.nodes.leave(scenario.old_home);
    scenario.nodes.run_for(seconds(5));
    CHECK_FALSE(is_handed_over(leaving.once));
    scenario.nodes.finish(running, verdict::ran, 6);
    scenario.nodes.run_for(settling_time);
    CHECK(is_handed_over(leaving.once));
    scenario.nodes.crash(scenario.old_home);
    CHECK(is_history_unknown(
        scenario.submit_claim(scenario.nodes.home(scenario.key))));
    scenario.key = unused;
    CHECK(is_run_now(scenario.submit_claim(scenario.nodes.home(unused))));
}

TEST_CASE("a leaving home refuses new keys as not run")
{
    fleet_with_home scenario;
    scenario.nodes.leave(scenario.old_home);
    CHECK(is_refused(scenario.submit_claim(scenario.old_home),
                     verdict::not_run,
                     refusal::draining));
}
