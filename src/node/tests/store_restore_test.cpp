#include "codec/route_table_codec.hpp"
#include "fake_store.hpp"
#include "node/node.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

std::string encode_table(std::uint64_t version)
{
    routes::route_table table;
    table.version = version;
    return codec::encode_route_table(table);
}

fake_store store_with_table()
{
    fake_store store;
    store.put(std::string(routes::table_key), encode_table(1));
    return store;
}

// One node process at a fake of the key-value store. A watch without news is
// held open.
struct process
{
    fake_store& store;
    state node;
    instant now{std::chrono::seconds(1000)};
    std::optional<call_store> open_watch;
    std::deque<call_store> calls;
    std::vector<answer_report> acknowledgements;
    // While set, the calls stay open.
    bool is_withholding = false;

    // Starts and runs until the table and the departures have been read.
    explicit process(fake_store& shared) : store(shared)
    {
        options startup;
        startup.self = {"10.0.0.1:7000", 1};
        startup.has_routes = true;
        this->node = make_state(startup);
        this->handle(timer_fired{});
        this->run_for(3s);
    }

    void handle(event const& incoming)
    {
        moment const at{this->now, wall_time(this->now.time_since_epoch())};
        for (effect const& emitted : reduce(this->node, incoming, at))
        {
            if (auto const* call = std::get_if<call_store>(&emitted))
            {
                this->calls.push_back(*call);
            }
            if (auto const* answer = std::get_if<answer_report>(&emitted))
            {
                this->acknowledgements.push_back(*answer);
            }
        }
    }

    void reply(call_store const& call)
    {
        this->handle(store_replied{call.call,
                                   call.client,
                                   this->store.call(call.request),
                                   this->store.era});
    }

    // Answers the open calls; a watch of the routes stays open.
    void answer_calls()
    {
        while (!this->is_withholding && !this->calls.empty())
        {
            call_store const call = this->calls.front();
            this->calls.pop_front();
            bool const is_routes_watch =
                call.client == store_client::routes &&
                std::holds_alternative<store_watch>(call.request);
            if (is_routes_watch)
            {
                this->open_watch = call;
                continue;
            }
            this->reply(call);
        }
    }

    // Advances the time in small steps and answers the calls that come due.
    void run_for(duration span)
    {
        instant const end = this->now + span;
        while (this->now < end)
        {
            this->now += 50ms;
            this->handle(timer_fired{});
            this->answer_calls();
        }
    }

    void report(std::uint64_t sequence, upstream_phase phase)
    {
        upstream_reported reported;
        reported.report = {sequence};
        reported.life = {"i-1", 5, sequence};
        reported.phase = phase;
        reported.announcement = {"desk", "127.0.0.1:8000", 4, 16, {}, "i-1"};
        this->handle(reported);
        this->answer_calls();
    }

    bool has_upstream() const
    {
        return this->node.lifecycle.upstream.has_value();
    }

    // The open watch returns; it reports the changes since its revision.
    void end_watch()
    {
        this->reply(std::exchange(this->open_watch, {}).value());
        this->answer_calls();
    }
};

} // namespace

TEST_CASE("a table whose revision was given out twice comes into force")
{
    fake_store store = store_with_table();
    fake_store const older = store;
    store.put(std::string(routes::table_key), encode_table(2));
    process node(store);
    REQUIRE(node.node.routes.in_force.version == 2);
    store.restore(older);
    store.put(std::string(routes::table_key), encode_table(3));
    node.end_watch();
    CHECK(node.node.routes.in_force.version == 3);
}

TEST_CASE(
    "an acknowledged departure binds a process that starts after the store "
    "has lost the record")
{
    fake_store store = store_with_table();
    process node(store);
    node.report(1, upstream_phase::ready);
    fake_store const older = store;
    node.report(2, upstream_phase::draining);
    REQUIRE(node.acknowledgements.back().is_accepted);
    store.restore(older);
    node.end_watch();
    node.run_for(1s);
    process restarted(store);
    restarted.report(3, upstream_phase::ready);
    CHECK_FALSE(restarted.has_upstream());
}

TEST_CASE("a departure whose write the store has lost is not acknowledged")
{
    fake_store store = store_with_table();
    process node(store);
    node.report(1, upstream_phase::ready);
    fake_store const older = store;
    node.is_withholding = true;
    node.report(2, upstream_phase::draining);
    auto const write = node.calls.front();
    node.calls.clear();
    store_replied const late{
        write.call, write.client, store.call(write.request), store.era};
    auto const answered = node.acknowledgements.size();
    node.is_withholding = false;
    store.restore(older);
    node.end_watch();
    node.handle(late);
    CHECK(node.acknowledgements.size() == answered);
    node.run_for(1s);
    CHECK(node.acknowledgements.size() == answered + 1);
    CHECK(std::holds_alternative<store_entry>(
        store.call(store_get{departures::record_key("10.0.0.1:7000")})));
}
