#include "replay.hpp"
#include "virtual_fleet.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace plantaintally::node;
using namespace std::chrono_literals;

namespace
{

void check_trace(std::string const& name)
{
    recorded_trace const trace = read_trace(name);
    REQUIRE_FALSE(trace.events.empty());
    replay_counts counts = replay(trace.startup_options, trace.events);
    for (auto const& [what, bound] : trace.at_least)
    {
        INFO(what);
        CHECK(counts[what] >= bound);
    }
    for (auto const& [what, bound] : trace.at_most)
    {
        INFO(what);
        CHECK(counts[what] <= bound);
    }
}

upstream_plan small_plan(std::string service,
                         std::vector<std::string> downstream = {})
{
    upstream_plan plan;
    plan.service = std::move(service);
    plan.slots = 4;
    plan.service_time = 20ms;
    plan.downstream = std::move(downstream);
    return plan;
}

// A fleet with two nodes each of services "a" and "b", whose events are
// recorded.
class recorded_fleet
{
public:
    recorded_fleet() : fleet(make_settings())
    {
        this->fleet.is_recording = true;
        this->fleet.add(small_plan("a", {"b"}), "z1");
        this->fleet.add(small_plan("a", {"b"}), "z2");
        this->fleet.add(small_plan("b"), "z1");
        this->fleet.add(small_plan("b"), "z2");
        this->fleet.form();
    }

    void send(std::string const& service,
              std::string const& target,
              int requests,
              duration gap,
              std::string const& method = "GET")
    {
        for (int index = 0; index < requests; ++index)
        {
            request_head head = make_head(
                service, target, target + std::to_string(index), method);
            head.caller = std::to_string(index % 7);
            head.time_left = 500ms;
            this->fleet.submit(index % 2, head, index * gap);
        }
    }

    void save(std::string const& name,
              std::size_t node,
              replay_counts at_least,
              replay_counts at_most)
    {
        recorded_trace trace;
        trace.startup_options = this->fleet.node(node).startup_options;
        trace.events = this->fleet.recording(node);
        trace.at_least = std::move(at_least);
        trace.at_most = std::move(at_most);
        write_trace(name, trace);
    }

    virtual_fleet fleet;

private:
    static fleet_settings make_settings()
    {
        fleet_settings settings;
        settings.document = test_document();
        return settings;
    }
};

} // namespace

TEST_CASE("replay: a slow deep service while requests are retried")
{
    check_trace("slow-deep-service");
}

TEST_CASE("replay: a flood of the least urgent work")
{
    check_trace("flood-least-urgent");
}

TEST_CASE("replay: a flood of the most urgent work")
{
    check_trace("flood-most-urgent");
}

TEST_CASE("replay: late and crossed answers")
{
    check_trace("late-crossed-answers");
}

TEST_CASE("replay: a planned stop under load")
{
    check_trace("planned-stop");
}

TEST_CASE("record the traces again", "[.][record]")
{
    {
        recorded_fleet run;
        run.fleet.upstream(2).plan.service_time = 400ms;
        run.fleet.upstream(3).plan.service_time = 400ms;
        run.send("a", "/browse", 400, 5ms);
        run.fleet.run_for(4s);
        run.save("slow-deep-service",
                 0,
                 {{"answered", 1}},
                 {{"retried in all", 50}, {"open at the end", 0}});
    }
    {
        recorded_fleet run;
        run.send("b", "/export", 1000, 1ms);
        run.send("b", "/confirm", 60, 16ms, "POST");
        run.fleet.run_for(3s);
        run.save("flood-least-urgent",
                 2,
                 {{"answered of confirmation", 25}},
                 {{"refused of confirmation", 0}, {"open at the end", 0}});
    }
    {
        recorded_fleet run;
        run.send("b", "/confirm", 1000, 1ms, "POST");
        run.send("b", "/export", 100, 10ms);
        run.fleet.run_for(3s);
        run.save("flood-most-urgent",
                 2,
                 {{"answered of confirmation", 100}},
                 {{"refused as may-have-run", 0}, {"open at the end", 0}});
    }
    {
        recorded_fleet run;
        run.fleet.settings.lost_peer_answer_fraction = 0.3;
        run.fleet.upstream(2).plan.lost_answer_fraction = 0.2;
        run.send("b", "/book", 100, 10ms, "POST");
        run.fleet.run_for(4s);
        run.save("late-crossed-answers",
                 0,
                 {{"answered", 20}},
                 {{"retried of booking", 0}, {"open at the end", 0}});
    }
    {
        recorded_fleet run;
        run.send("b", "/browse", 300, 5ms);
        run.fleet.inject(2, stop_requested{}, 500ms);
        run.fleet.run_for(10s);
        run.save("planned-stop",
                 2,
                 {{"exited", 1}, {"answered", 20}},
                 {{"refused as may-have-run", 0}, {"open at the end", 0}});
    }
}
