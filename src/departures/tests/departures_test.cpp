#include "departures/departures.hpp"

#include "test_fleet/step_bench.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plantaintally;
using namespace plantaintally::departures;
using namespace std::chrono_literals;

namespace
{

// One process of a node, with the record at the store kept by the test.
struct process : step_bench
{
    state departures;
    std::uint64_t last_report = 0;

    process()
    {
        this->departures.self.address = "10.0.0.1:7000";
        auto current = this->begin();
        start(this->departures, current);
    }

    outcome report(upstream_incarnation const& life,
                   upstream_phase phase = upstream_phase::ready)
    {
        upstream_reported reported;
        reported.report = {++this->last_report};
        reported.life = life;
        reported.phase = phase;
        reported.announcement.service = "desk";
        reported.announcement.instance = life.instance;
        auto current = this->begin();
        return apply_report(this->departures, reported, current);
    }

    outcome reply(store_result const& result)
    {
        auto current = this->begin();
        return handle_store(
            this->departures, this->departures.pending_call, result, current);
    }

    void wait(duration span)
    {
        this->now += span;
        auto current = this->begin();
        handle_time(this->departures, current);
    }

    // The record that the last step writes.
    std::string written() const
    {
        auto const* call = this->find<call_store>();
        auto const* write =
            call == nullptr
                ? nullptr
                : std::get_if<store_compare_and_set>(&call->request);
        return write == nullptr ? std::string() : write->value;
    }

    bool acknowledges(bool is_accepted = true) const
    {
        auto const* answer = this->find<answer_report>();
        return answer != nullptr && answer->is_accepted == is_accepted;
    }
};

upstream_incarnation
life_of(std::string name, std::uint64_t born, std::uint64_t seq)
{
    return {std::move(name), born, seq};
}

} // namespace

TEST_CASE("a life is ready only after the record was looked at")
{
    process node;
    CHECK_FALSE(node.report(life_of("i-1", 5, 1)).opened);
    auto const looked = node.reply(store_missing{});
    REQUIRE(looked.opened);
    CHECK(looked.opened->instance == "i-1");
}

TEST_CASE("a leaving is acknowledged only after it was recorded")
{
    process node;
    node.reply(store_missing{});
    node.report(life_of("i-1", 5, 1));
    auto const leaving =
        node.report(life_of("i-1", 5, 2), upstream_phase::draining);
    CHECK(leaving.is_leaving);
    CHECK_FALSE(node.acknowledges());
    CHECK(node.written() == "5 i-1\n");
    node.reply(store_written{7});
    CHECK(node.acknowledges());
}

TEST_CASE("a late report to a new process does not revive a life that left")
{
    process node;
    node.report(life_of("i-1", 5, 1));
    auto const looked = node.reply(store_entry{"k", "5 i-1\n", 7});
    CHECK_FALSE(looked.opened);
    CHECK_FALSE(node.report(life_of("i-1", 5, 3)).opened);
}

TEST_CASE("the same name born anew is another life")
{
    process node;
    node.reply(store_entry{"k", "5 i-1\n", 7});
    CHECK(node.report(life_of("i-1", 9, 1)).opened);
    // A report of the former life that was held up.
    CHECK_FALSE(node.report(life_of("i-1", 5, 8)).opened);
}

TEST_CASE("a worker that leaves without saying its birth is the present one")
{
    process node;
    node.reply(store_missing{});
    node.report(life_of("i-1", 5, 1));
    CHECK(node.report(life_of("i-1", 0, 0), upstream_phase::gone).is_leaving);
    CHECK(node.written() == "5 i-1\n");
}

TEST_CASE("a leaving that can't be recorded is not acknowledged, and binds")
{
    process node;
    node.reply(store_missing{});
    node.report(life_of("i-1", 5, 1));
    node.report(life_of("i-1", 5, 2), upstream_phase::draining);
    node.reply(store_unavailable{false});
    CHECK(node.acknowledges(false));
    CHECK_FALSE(node.report(life_of("i-1", 5, 3)).opened);
    // Recorded once the store is back: read anew, then written.
    node.wait(1s);
    node.reply(store_missing{});
    CHECK(node.written() == "5 i-1\n");
    node.report(life_of("i-1", 5, 4), upstream_phase::draining);
    node.reply(store_written{9});
    CHECK(node.acknowledges());
}

TEST_CASE("a write whose answer was lost is followed by a new reading")
{
    process node;
    node.reply(store_missing{});
    node.report(life_of("i-1", 5, 1));
    node.report(life_of("i-1", 5, 2), upstream_phase::gone);
    node.reply(store_unavailable{true});
    node.wait(1s);
    auto const* call = node.find<call_store>();
    REQUIRE(call != nullptr);
    CHECK(std::holds_alternative<store_get>(call->request));
    node.reply(store_entry{"k", "5 i-1\n", 12});
    auto const* write = node.find<call_store>();
    REQUIRE(write != nullptr);
    CHECK(std::get<store_compare_and_set>(write->request).expected_revision ==
          12);
}

TEST_CASE("without the store, reports that arrive together don't open a life")
{
    process node;
    node.reply(store_unavailable{false});
    CHECK_FALSE(node.report(life_of("i-1", 5, 1)).opened);
    CHECK_FALSE(node.report(life_of("i-1", 5, 2)).opened);
    node.now += 1500ms;
    CHECK(node.report(life_of("i-1", 5, 3)).opened);
}

TEST_CASE("the leaving of a life that was never ready ends the present one")
{
    process node;
    node.reply(store_missing{});
    node.report(life_of("i-1", 5, 1));
    CHECK(
        node.report(life_of("i-1", 9, 1), upstream_phase::draining).is_leaving);
}

TEST_CASE("a leaving of a former life leaves the present one in use")
{
    process node;
    node.reply(store_missing{});
    node.report(life_of("i-2", 9, 1));
    CHECK_FALSE(
        node.report(life_of("i-1", 5, 4), upstream_phase::gone).is_leaving);
    node.reply(store_written{3});
    CHECK(node.report(life_of("i-2", 9, 2)).opened);
}
