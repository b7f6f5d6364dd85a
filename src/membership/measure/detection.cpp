#include "membership/internal/view.hpp"
#include "membership/measure/sections.hpp"
#include "test_fleet/fleet.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace plantaintally::measure
{

namespace
{

using namespace std::chrono_literals;
using test_fleet::fleet;

constexpr duration observation_time = std::chrono::minutes(12);
constexpr int crash_trials = 12;

struct cell_setup
{
    int cell_nodes = 16;
    std::size_t fanout = 15;
    bool uses_digests = false;
    std::uint32_t missed_heartbeat_limit = 4;
    double loss = 0;
};

std::string address_of(int index)
{
    return "10.0.0." + std::to_string(index) + ":7000";
}

// Starts the cell in one service and waits until it has formed, before messages
// are lost.
void start_cell(fleet& all, cell_setup const& setup)
{
    for (int index = 1; index <= setup.cell_nodes; ++index)
    {
        auto& node = all.start_node(address_of(index),
                                    "zone-" + std::to_string(index % 3),
                                    "slots",
                                    {address_of(1)});
        node.membership.startup_options.heartbeat_fanout = setup.fanout;
        node.membership.startup_options.uses_digests = setup.uses_digests;
        node.membership.startup_options.missed_heartbeat_limit =
            setup.missed_heartbeat_limit;
    }
    all.run_for(20s);
    all.net.loss = setup.loss;
}

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::size_t count_entries(fleet& all, std::string const& kind)
{
    std::size_t count = 0;
    for (std::string const& address : all.live_addresses())
    {
        auto const& entries = all.at(address).entries;
        count += static_cast<std::size_t>(std::count_if(
            entries.begin(),
            entries.end(),
            [&](timeline_entry const& entry) { return entry.kind == kind; }));
    }
    return count;
}

std::string describe(cell_setup const& setup)
{
    return "cell=" + std::to_string(setup.cell_nodes) + " " +
           std::string(setup.uses_digests ? "digests" : "plain") +
           " fanout=" + std::to_string(setup.fanout) +
           " missed=" + std::to_string(setup.missed_heartbeat_limit) +
           " loss=" + std::to_string(static_cast<int>(setup.loss * 100)) + "%";
}

void measure_false_positives(report& out,
                             cell_setup const& setup,
                             std::uint64_t seed)
{
    fleet all(seed);
    start_cell(all, setup);
    std::size_t const before = count_entries(all, "member-suspected");
    std::size_t const gone_before = count_entries(all, "member-gone");
    all.run_for(observation_time);
    double const node_hours =
        setup.cell_nodes * seconds(observation_time) / 3600.0;
    auto const rate = [&](std::size_t count)
    {
        return static_cast<double>(count) / node_hours;
    };
    out.add("detection",
            "false suspicions",
            describe(setup),
            rate(count_entries(all, "member-suspected") - before),
            "1/node/h");
    out.add("detection",
            "false departures",
            describe(setup),
            rate(count_entries(all, "member-gone") - gone_before),
            "1/node/h");
}

void measure_crash_detection(report& out,
                             cell_setup const& setup,
                             std::uint64_t seed)
{
    std::vector<double> suspected;
    std::vector<double> gone;
    for (int trial = 0; trial < crash_trials; ++trial)
    {
        fleet all(seed + static_cast<std::uint64_t>(trial) + 100);
        start_cell(all, setup);
        all.run_for(5s + trial * 37ms);
        std::string const victim =
            address_of(2 + trial % (setup.cell_nodes - 1));
        std::string const observer = address_of(1);
        all.crash(victim);
        instant const crashed_at = all.now();
        using membership::member_status;
        all.run_until(
            [&]
            { return all.status(observer, victim) != member_status::alive; },
            60s);
        suspected.push_back(seconds(all.now() - crashed_at));
        all.run_until(
            [&] { return all.status(observer, victim) == member_status::gone; },
            60s);
        gone.push_back(seconds(all.now() - crashed_at));
    }
    auto const mean = [](std::vector<double> const& values)
    {
        double sum = 0;
        for (double const value : values)
        {
            sum += value;
        }
        return sum / static_cast<double>(values.size());
    };
    out.add("detection",
            "suspected after, mean",
            describe(setup),
            mean(suspected),
            "s");
    out.add("detection",
            "suspected after, longest",
            describe(setup),
            *std::max_element(suspected.begin(), suspected.end()),
            "s");
    out.add("detection", "gone after, mean", describe(setup), mean(gone), "s");
    out.add("detection",
            "gone after, longest",
            describe(setup),
            *std::max_element(gone.begin(), gone.end()),
            "s");
}

} // namespace

void measure_detection(report& out, std::uint64_t seed)
{
    std::vector<cell_setup> const setups = {
        {16, 15, false, 3, 0},
        {16, 15, false, 4, 0},
        {16, 15, true, 3, 0},
        {16, 8, true, 3, 0},
        {16, 8, true, 4, 0},
        {16, 6, true, 4, 0},
        {4, 3, false, 3, 0},
        {4, 3, true, 3, 0},
        {4, 3, true, 4, 0},
    };
    for (cell_setup setup : setups)
    {
        for (double const loss : {0.0, 0.05, 0.1, 0.2})
        {
            setup.loss = loss;
            measure_false_positives(out, setup, seed);
            measure_crash_detection(out, setup, seed);
        }
    }
}

} // namespace plantaintally::measure
