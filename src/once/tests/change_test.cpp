// Changes of epoch: what becomes of keys whose home moves.
#include "once/tests/fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::once;
using namespace plantaintally::once::test;

namespace
{

// Long enough for an epoch to be agreed, fenced and vouched for.
constexpr duration settling = seconds(14);

bool is_run(claim_decision const& made)
{
    return std::holds_alternative<run_now>(made);
}

bool is_refused(claim_decision const& made, verdict outcome, refusal reason)
{
    auto const* refused = std::get_if<refuse_key>(&made);
    return refused != nullptr && refused->outcome == outcome &&
           refused->reason == reason;
}

bool is_unknown(claim_decision const& made)
{
    return is_refused(
        made, verdict::may_have_run, refusal::key_history_unknown);
}

// Five nodes with one epoch, and a key of this moment at the first of them.
struct settled_fleet
{
    fleet nodes{5};
    std::string old_home;
    std::string key;

    settled_fleet()
    {
        this->nodes.run_for(settling);
        this->old_home = this->nodes.addresses().front();
        this->key = this->nodes.key_at(this->old_home, this->nodes.elapsed());
    }

    // Keys at the old home that aren't time-ordered.
    std::vector<std::string> plain_keys(std::size_t count)
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

    // The others go on without the old home; returns the key's new home.
    std::string change_home()
    {
        this->nodes.spread_members({this->old_home});
        this->nodes.run_for(settling);
        return this->nodes.home(this->key);
    }

    bool is_open(std::string const& address)
    {
        cell_state const& cell =
            this->nodes.at(address).once.cells.begin()->second;
        return address != this->old_home &&
               cell.epochs.back().opened_at.has_value();
    }

    // The decision in the end, if the first one is to wait.
    claim_decision ask(std::string const& address)
    {
        claim_decision made = this->nodes.ask(address, this->key);
        if (!std::holds_alternative<decide_later>(made))
        {
            return made;
        }
        exchange_id const waiting = this->nodes.last_exchange();
        this->nodes.run_for(seconds(1));
        std::optional<claim_decision> const decided =
            this->nodes.resolved(waiting);
        REQUIRE(decided.has_value());
        return *decided;
    }
};

} // namespace

TEST_CASE("a key whose home has crashed is not run again")
{
    settled_fleet tried;
    REQUIRE(is_run(tried.ask(tried.old_home)));
    tried.nodes.crash(tried.old_home);
    std::string const home = tried.change_home();
    REQUIRE(home != tried.old_home);
    CHECK(is_unknown(tried.ask(home)));
}

TEST_CASE("a key minted after the change runs at once")
{
    settled_fleet tried;
    tried.nodes.crash(tried.old_home);
    tried.change_home();
    std::string const home = tried.nodes.addresses().back();
    std::string const young = tried.nodes.key_at(home, tried.nodes.elapsed());
    CHECK(is_run(tried.nodes.ask(home, young)));
}

TEST_CASE("a moved key that its previous home never saw runs")
{
    settled_fleet tried;
    std::string const home = tried.change_home();
    CHECK(is_run(tried.ask(home)));
    CHECK(tried.nodes.executions(tried.key) == 1);
}

TEST_CASE("a moved key runs at once if its previous home has stopped")
{
    settled_fleet tried;
    tried.nodes.spread_members({tried.old_home});
    tried.nodes.run_for(seconds(2));
    std::string const home = tried.nodes.home(tried.key);
    REQUIRE(home != tried.old_home);
    REQUIRE_FALSE(tried.is_open(home));
    CHECK(is_run(tried.ask(home)));
    claim_decision const late = tried.ask(tried.old_home);
    REQUIRE(std::holds_alternative<redirect_claim>(late));
    CHECK(std::get<redirect_claim>(late).address == home);
}

TEST_CASE("a moved key waits for the fence if its previous home is gone")
{
    settled_fleet tried;
    tried.nodes.crash(tried.old_home);
    tried.nodes.spread_members();
    tried.nodes.run_for(seconds(2));
    std::string const home = tried.nodes.home(tried.key);
    REQUIRE_FALSE(tried.is_open(home));
    CHECK(is_unknown(tried.ask(home)));
    tried.nodes.run_for(settling);
    CHECK(tried.is_open(home));
}

TEST_CASE("a moved key that its previous home has run is sent there")
{
    settled_fleet tried;
    REQUIRE(is_run(tried.ask(tried.old_home)));
    tried.nodes.finish(tried.nodes.last_exchange(), verdict::ran, 4);
    std::string const home = tried.change_home();
    claim_decision const made = tried.ask(home);
    REQUIRE(std::holds_alternative<redirect_claim>(made));
    CHECK(std::get<redirect_claim>(made).address == tried.old_home);
    CHECK(std::holds_alternative<replay_answer>(tried.ask(tried.old_home)));
}

TEST_CASE("a key that isn't time-ordered waits for the guard window")
{
    settled_fleet tried;
    tried.key = tried.plain_keys(1).front();
    tried.nodes.crash(tried.old_home);
    std::string const home = tried.change_home();
    CHECK(is_unknown(tried.ask(home)));
    tried.nodes.run_for(std::chrono::minutes(11));
    CHECK(is_run(tried.ask(home)));
}

TEST_CASE("a paused home that dispatches late is the only one to dispatch")
{
    settled_fleet tried;
    REQUIRE(is_run(tried.ask(tried.old_home)));
    tried.nodes.pause(tried.old_home, seconds(60));
    std::string const home = tried.change_home();
    CHECK(is_unknown(tried.ask(home)));
    CHECK(tried.nodes.executions(tried.key) == 1);
}

TEST_CASE("an isolated home falls silent before the next home opens")
{
    settled_fleet tried;
    std::vector<std::string> const keys = tried.plain_keys(1000);
    tried.nodes.isolate(tried.old_home);
    tried.nodes.spread_members({tried.old_home});
    duration last_accepted{};
    duration opened{};
    for (std::string const& key : keys)
    {
        tried.nodes.run_for(milliseconds(10));
        duration const now = tried.nodes.elapsed();
        if (is_run(tried.nodes.ask(tried.old_home, key)))
        {
            last_accepted = now;
        }
        bool const is_open = tried.is_open(tried.nodes.home(tried.key));
        if (opened == duration{} && is_open)
        {
            opened = now;
        }
    }
    CHECK(last_accepted > settling);
    CHECK(opened > last_accepted);
}

TEST_CASE("vouches run out on time although the others come from afar")
{
    settled_fleet tried;
    tried.nodes.isolate(tried.old_home);
    tried.nodes.run_for(seconds(4));
    CHECK(is_refused(tried.ask(tried.old_home),
                     verdict::may_have_run,
                     refusal::key_home_fenced));
    tried.nodes.connect_all();
    tried.nodes.run_for(seconds(2));
    CHECK(is_run(tried.ask(tried.old_home)));
}

TEST_CASE("a change does not interrupt the keys whose home stays")
{
    settled_fleet tried;
    std::string const stays = tried.nodes.addresses().back();
    epoch const before = *tried.nodes.newest_known();
    tried.nodes.crash(tried.old_home);
    tried.nodes.spread_members();
    int asked = 0;
    int refused = 0;
    for (int i = 0; i < 1000; ++i)
    {
        tried.nodes.run_for(milliseconds(10));
        std::string const key =
            tried.nodes.key_at(stays, tried.nodes.elapsed());
        if (home_of(before, key)->address == stays)
        {
            ++asked;
            refused += is_run(tried.nodes.ask(stays, key)) ? 0 : 1;
        }
    }
    CHECK(asked > 500);
    CHECK(tried.nodes.newest_known()->number == 2);
    CHECK(refused == 0);
}

TEST_CASE("keys are accepted while the store is down and members stay")
{
    settled_fleet tried;
    tried.nodes.is_store_down = true;
    tried.nodes.run_for(std::chrono::minutes(10));
    tried.key = tried.nodes.key_at(tried.old_home, tried.nodes.elapsed());
    CHECK(is_run(tried.ask(tried.old_home)));
}

TEST_CASE("keys of a crashed home are refused truthfully without the store")
{
    settled_fleet tried;
    tried.nodes.is_store_down = true;
    tried.nodes.crash(tried.old_home);
    tried.nodes.spread_members();
    tried.nodes.run_for(std::chrono::minutes(1));
    std::string const other = tried.nodes.addresses().back();
    claim_decision const made = tried.ask(other);
    REQUIRE(std::holds_alternative<redirect_claim>(made));
    CHECK(std::get<redirect_claim>(made).address == tried.old_home);
    tried.nodes.is_store_down = false;
    tried.nodes.run_for(seconds(40));
    tried.key = tried.nodes.key_at(other, tried.nodes.elapsed());
    CHECK(is_run(tried.ask(other)));
}

TEST_CASE("an answer lost after the write leaves one epoch that all agree on")
{
    settled_fleet tried;
    tried.nodes.loses_store_answers = true;
    tried.nodes.spread_members({tried.old_home});
    tried.nodes.run_for(seconds(5));
    tried.nodes.loses_store_answers = false;
    tried.nodes.run_for(seconds(40));
    CHECK(tried.nodes.newest_known()->number == 2);
    CHECK(tried.nodes.store.begin()->second.revision == 2);
    CHECK(tried.nodes.home(tried.key) != tried.old_home);
}

TEST_CASE("racing proposers agree on one epoch")
{
    settled_fleet tried;
    std::set<std::string> const halves[] = {{tried.nodes.addresses()[0]},
                                            {tried.nodes.addresses()[4]}};
    tried.nodes.spread_members(halves[0]);
    tried.nodes.tell_members(tried.nodes.addresses()[0], halves[1]);
    tried.nodes.run_for(seconds(3));
    tried.nodes.spread_members();
    tried.nodes.run_for(seconds(40));
    for (std::string const& address : tried.nodes.addresses())
    {
        cell_state const& cell =
            tried.nodes.at(address).once.cells.begin()->second;
        CHECK(cell.epochs.back().content == *tried.nodes.newest_known());
        CHECK(cell.epochs.back().opened_at.has_value());
    }
}

TEST_CASE("a change of members costs one write and no read")
{
    settled_fleet tried;
    std::size_t const reads = tried.nodes.store_reads;
    std::size_t const writes = tried.nodes.store_writes;
    tried.nodes.crash(tried.old_home);
    tried.nodes.spread_members();
    tried.nodes.run_for(std::chrono::minutes(2));
    CHECK(tried.nodes.newest_known()->members.size() == 4);
    CHECK(tried.nodes.store_writes - writes == 1);
    CHECK(tried.nodes.store_reads - reads == 0);
}

TEST_CASE("a restarted voucher is silent for the lifetime of a vouch")
{
    fleet nodes(1);
    nodes.run_for(seconds(2));
    std::string const home = nodes.addresses().front();
    CHECK(is_refused(
        nodes.ask(home, "a"), verdict::may_have_run, refusal::key_home_fenced));
    nodes.run_for(seconds(4));
    CHECK(is_run(nodes.ask(home, "a")));
}

TEST_CASE("new processes at the vouchers' addresses end an epoch")
{
    settled_fleet tried;
    for (std::string const& address : tried.nodes.addresses())
    {
        tried.nodes.restart(address);
    }
    tried.nodes.spread_members();
    tried.nodes.run_for(seconds(30));
    std::string const home = tried.nodes.home(tried.key);
    CHECK(is_unknown(tried.ask(home)));
    tried.key = tried.nodes.key_at(home, tried.nodes.elapsed());
    CHECK(is_run(tried.ask(home)));
}

TEST_CASE("a leaving home hands its keys over and may then end")
{
    settled_fleet tried;
    REQUIRE(is_run(tried.ask(tried.old_home)));
    exchange_id const running = tried.nodes.last_exchange();
    std::string const unused =
        tried.nodes.key_at(tried.old_home, tried.nodes.elapsed());
    process& leaving = tried.nodes.at(tried.old_home);
    tried.nodes.leave(tried.old_home);
    tried.nodes.run_for(seconds(5));
    CHECK_FALSE(is_handed_over(leaving.once));
    tried.nodes.finish(running, verdict::ran, 6);
    tried.nodes.run_for(settling);
    CHECK(is_handed_over(leaving.once));
    tried.nodes.crash(tried.old_home);
    CHECK(is_unknown(tried.ask(tried.nodes.home(tried.key))));
    tried.key = unused;
    CHECK(is_run(tried.ask(tried.nodes.home(unused))));
}

TEST_CASE("a leaving home accepts no key and says truly that it did not run")
{
    settled_fleet tried;
    tried.nodes.leave(tried.old_home);
    CHECK(is_refused(
        tried.ask(tried.old_home), verdict::not_run, refusal::draining));
}
