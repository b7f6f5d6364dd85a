#include "node/node.hpp"
#include "node/statistics.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t internal_error = 500;

// One node with a route table and an upstream with a single slot.
class entrance_fixture
{
public:
    entrance_fixture()
    {
        options startup;
        startup.self = {"10.0.0.1:7000", 1};
        startup.availability_zone = "z1";
        startup.has_routes = true;
        startup.accepts_idempotency_keys = false;
        this->node = make_state(startup);
        routes::route_rule rule;
        rule.name = "r-board";
        rule.host = "board.example";
        rule.prefix = "/x/";
        rule.targets = {{"board", 1}};
        rule.timeout = 5s;
        rule.max_attempts = 1;
        rule.aim = 1s;
        routes::route_table table;
        table.version = 1;
        table.rules = {rule};
        this->submit(control_received{
            {{"10.0.0.2:7000", 1}, {}, routes::table_update{table}}});
        upstream_announcement board;
        board.service = "board";
        board.address = "10.0.0.1:8000";
        board.slots = 1;
        this->submit(upstream_announced{board});
    }

    // Submits a request; returns the attempt if it was dispatched at once.
    attempt_id arrive(bool is_upstream_call)
    {
        request_arrived arrived;
        arrived.exchange = exchange_id{++this->last_exchange};
        arrived.head.trace_id = std::to_string(this->last_exchange);
        arrived.head.host = "board.example";
        arrived.head.target = "/x/1";
        arrived.head.method = "GET";
        arrived.head.caller = "board";
        arrived.head.is_from_own_host = is_upstream_call;
        this->submit(arrived);
        auto const* const dispatched = this->find<dispatch_request>();
        return dispatched == nullptr ? attempt_id{} : dispatched->attempt;
    }

    // Lets the upstream answer the attempt with status 500; returns the report
    // that its caller gets.
    hop_report fail(attempt_id attempt)
    {
        attempt_answered answered;
        answered.attempt = attempt;
        answered.status = internal_error;
        this->submit(answered);
        auto const* const answer = this->find<answer_from_attempt>();
        REQUIRE(answer != nullptr);
        return answer->report;
    }

    void submit(event const& incoming)
    {
        this->now += 1ms;
        this->out = reduce(this->node, incoming, moment{this->now, {}});
    }

    template <class Effect>
    Effect const* find() const
    {
        for (effect const& each : this->out)
        {
            if (auto const* const found = std::get_if<Effect>(&each))
            {
                return found;
            }
        }
        return nullptr;
    }

    state node;
    effects out;
    instant now{1000s};

private:
    std::uint64_t last_exchange = 0;
};

} // namespace

TEST_CASE("a failed answer is attributed to a call that found no capacity")
{
    entrance_fixture test;
    attempt_id const attempt = test.arrive(false);
    REQUIRE(attempt.value != 0);
    // The upstream's calls to its own service fill the queue; one is refused.
    refuse_request const* refused = nullptr;
    for (int count = 0; count < 100 && refused == nullptr; ++count)
    {
        test.arrive(true);
        refused = test.find<refuse_request>();
    }
    REQUIRE(refused != nullptr);
    CHECK(refused->report.lacks_capacity);
    CHECK(test.fail(attempt).lacks_capacity);
    REQUIRE(test.node.entrance.gates.size() == 1);
    CHECK(test.node.entrance.gates.begin()->second.share < 1);
}

TEST_CASE("a failed answer without a refused call is not for lack of capacity")
{
    entrance_fixture test;
    attempt_id const attempt = test.arrive(false);
    REQUIRE(attempt.value != 0);
    CHECK_FALSE(test.fail(attempt).lacks_capacity);
    REQUIRE(test.node.entrance.gates.size() == 1);
    CHECK(test.node.entrance.gates.begin()->second.share == 1);
}

TEST_CASE("a closed gate refuses callers but not the upstream's own calls")
{
    entrance_fixture test;
    auto& gate = test.node.entrance.gates[{"board", "r-board"}];
    gate.share = 0;
    gate.failed_at = test.now;
    test.arrive(false);
    auto const* const refused = test.find<refuse_request>();
    REQUIRE(refused != nullptr);
    CHECK(refused->report.reason == refusal::shed_at_source);
    CHECK(refused->report.outcome == verdict::not_run);
    CHECK(refused->report.retry_after > 0ms);
    CHECK(test.arrive(true).value != 0);

    auto const samples = collect_statistics(test.node);
    auto const share = std::ranges::find(
        samples, std::string("entrance_share"), &statistic::name);
    REQUIRE(share != samples.end());
    CHECK(share->value == 0);
}
