#include "once/tests/fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::once;
using namespace plantaintally::once::test;

namespace
{

// Long enough for the first epoch to be agreed on and vouched for.
constexpr duration settling_time = seconds(8);

bool is_refused(claim_decision const& decision, verdict outcome, refusal reason)
{
    auto const* refused = std::get_if<refuse_key>(&decision);
    return refused != nullptr && refused->outcome == outcome &&
           refused->reason == reason;
}

} // namespace

TEST_CASE("a duplicate in flight joins the running execution")
{
    fleet nodes(4);
    nodes.run_for(settling_time);
    std::string const home = nodes.addresses().front();
    std::string const key = nodes.new_key_with_home(home, nodes.elapsed());
    REQUIRE(std::holds_alternative<run_now>(nodes.submit_claim(home, key)));
    exchange_id const first = nodes.last_exchange();
    claim_decision const repeated = nodes.submit_claim(home, key);
    REQUIRE(std::holds_alternative<join_running>(repeated));
    CHECK(std::get<join_running>(repeated).running == first);
}

TEST_CASE("a finished duplicate replays the recorded answer")
{
    fleet nodes(4);
    nodes.run_for(settling_time);
    std::string const home = nodes.addresses().front();
    std::string const key = nodes.new_key_with_home(home, nodes.elapsed());
    nodes.submit_claim(home, key);
    nodes.finish(nodes.last_exchange(), verdict::ran, 9);
    claim_decision const repeated = nodes.submit_claim(home, key);
    REQUIRE(std::holds_alternative<replay_answer>(repeated));
    CHECK(std::get<replay_answer>(repeated).attempt == attempt_id{9});
}

TEST_CASE("a key that did not run may be claimed again")
{
    fleet nodes(1);
    nodes.run_for(settling_time);
    std::string const home = nodes.addresses().front();
    nodes.submit_claim(home, "not-time-ordered");
    nodes.finish(nodes.last_exchange(), verdict::not_run, 0);
    CHECK(std::holds_alternative<run_now>(
        nodes.submit_claim(home, "not-time-ordered")));
}

TEST_CASE("a node that is not the home names the home")
{
    fleet nodes(4);
    nodes.run_for(settling_time);
    std::string const home = nodes.addresses().front();
    std::string const key = nodes.new_key_with_home(home, nodes.elapsed());
    claim_decision const decision =
        nodes.submit_claim(nodes.addresses().back(), key);
    REQUIRE(std::holds_alternative<redirect_claim>(decision));
    CHECK(std::get<redirect_claim>(decision).address == home);
}

TEST_CASE("a full key table refuses new keys as not run and forgets none")
{
    fleet nodes(1);
    std::string const home = nodes.addresses().front();
    nodes.at(home).once.startup_options.key_limit = 2;
    nodes.run_for(settling_time);
    nodes.submit_claim(home, "a");
    nodes.submit_claim(home, "b");
    CHECK(is_refused(nodes.submit_claim(home, "c"),
                     verdict::not_run,
                     refusal::key_table_full));
    CHECK(std::holds_alternative<join_running>(nodes.submit_claim(home, "a")));
}

TEST_CASE("a time-ordered key older than the retry horizon is refused")
{
    fleet nodes(1);
    nodes.run_for(std::chrono::minutes(12));
    std::string const home = nodes.addresses().front();
    std::string const key = make_key(seconds(60), 1);
    CHECK(is_refused(nodes.submit_claim(home, key),
                     verdict::may_have_run,
                     refusal::key_too_old));
}

TEST_CASE("a key record outlives the retry horizon and then expires")
{
    fleet nodes(1);
    nodes.run_for(settling_time);
    std::string const home = nodes.addresses().front();
    std::string const key = make_key(nodes.elapsed(), 1);
    nodes.submit_claim(home, key);
    nodes.finish(nodes.last_exchange(), verdict::ran, 9);
    nodes.run_for(std::chrono::minutes(10));
    CHECK(std::holds_alternative<replay_answer>(nodes.submit_claim(home, key)));
    nodes.run_for(std::chrono::minutes(1));
    CHECK(nodes.at(home).once.keys.empty());
    CHECK(is_refused(nodes.submit_claim(home, key),
                     verdict::may_have_run,
                     refusal::key_too_old));
}
