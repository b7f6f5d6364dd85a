#include "departures/departures.hpp"
#include "lifecycle/lifecycle.hpp"
#include "node/node.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

// One node process whose calls to the key-value store all get the same reply,
// and whose health checks are answered by `serving`.
struct process
{
    state node;
    instant now{std::chrono::seconds(1000)};
    store_result reply = store_unavailable{false};
    std::string serving;

    process()
    {
        options startup;
        startup.self = {"10.0.0.1:7000", 1};
        startup.has_routes = true;
        this->node = make_state(startup);
        routes::route_table table;
        table.services = {{"desk", "/health"}};
        this->node.routes.in_force = table;
        this->handle(timer_fired{});
    }

    void handle(event const& incoming)
    {
        moment const at{this->now, wall_time(this->now.time_since_epoch())};
        for (effect const& each : reduce(this->node, incoming, at))
        {
            auto const* call = std::get_if<call_store>(&each);
            if (call != nullptr && call->client == store_client::departures)
            {
                this->handle(
                    store_replied{call->call, call->client, this->reply, 1});
            }
            if (auto const* check = std::get_if<check_upstream>(&each))
            {
                this->handle(upstream_checked{check->check, this->serving});
            }
        }
    }

    void run_for(duration span)
    {
        instant const end = this->now + span;
        while (this->now < end)
        {
            this->now += 50ms;
            this->handle(timer_fired{});
        }
    }

    void report(std::uint64_t sequence)
    {
        upstream_reported reported;
        reported.report = {sequence};
        reported.life = {"i-1", 5, sequence};
        reported.announcement = {"desk", "127.0.0.1:8000", 4, 16, {}, "i-1"};
        this->handle(reported);
    }

    bool takes_work() const
    {
        return lifecycle::takes_work(this->node.lifecycle);
    }
};

} // namespace

TEST_CASE(
    "admission closes once a node has read that its upstream has departed")
{
    process node;
    node.serving = "i-1";
    node.report(1);
    REQUIRE(node.takes_work());
    node.reply = store_entry{"k", "5 i-1\n", 7};
    node.run_for(1s);
    CHECK_FALSE(node.takes_work());
    CHECK_FALSE(node.node.admission.is_open);
    node.report(3);
    CHECK_FALSE(node.takes_work());
}

TEST_CASE(
    "late reports from before a start without the store don't open admission")
{
    process node;
    node.run_for(1s);
    node.report(7);
    for (std::uint64_t sequence = 8; sequence < 20; ++sequence)
    {
        node.run_for(1500ms);
        node.report(sequence);
        CHECK_FALSE(node.takes_work());
    }
    node.reply = store_entry{"k", "5 i-1\n", 7};
    node.run_for(2s);
    CHECK_FALSE(node.takes_work());
}
