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

constexpr duration observation = std::chrono::minutes(12);
constexpr int crash_trials = 12;

struct setting
{
    int cell_nodes = 16;
    std::size_t fanout = 15;
    bool uses_digests = false;
    std::uint32_t missed_heartbeats = 4;
    double loss = 0;
};

std::string address_of(int index)
{
    return "10.0.0." + std::to_string(index) + ":7000";
}

// A cell of 16 in one service, with the setting, after it has formed.
void start_cell(fleet& all, setting const& used)
{
    for (int index = 1; index <= used.cell_nodes; ++index)
    {
        auto& node = all.start_node(address_of(index),
                                    "zone-" + std::to_string(index % 3),
                                    "slots",
                                    {address_of(1)});
        node.membership.own.heartbeat_fanout = used.fanout;
        node.membership.own.uses_digests = used.uses_digests;
        node.membership.own.missed_heartbeats = used.missed_heartbeats;
    }
    all.run_for(20s);
    all.net.loss = used.loss;
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

std::string describe(setting const& used)
{
    return "cell=" + std::to_string(used.cell_nodes) + " " +
           std::string(used.uses_digests ? "digests" : "plain") +
           " fanout=" + std::to_string(used.fanout) +
           " missed=" + std::to_string(used.missed_heartbeats) +
           " loss=" + std::to_string(static_cast<int>(used.loss * 100)) + "%";
}

void observe_false_alarms(report& out, setting const& used, std::uint64_t seed)
{
    fleet all(seed);
    start_cell(all, used);
    std::size_t const before = count_entries(all, "member-suspected");
    std::size_t const gone_before = count_entries(all, "member-gone");
    all.run_for(observation);
    double const node_hours = used.cell_nodes * seconds(observation) / 3600.0;
    auto const rate = [&](std::size_t count)
    {
        return static_cast<double>(count) / node_hours;
    };
    out.add("detection",
            "false suspicions",
            describe(used),
            rate(count_entries(all, "member-suspected") - before),
            "1/node/h");
    out.add("detection",
            "false departures",
            describe(used),
            rate(count_entries(all, "member-gone") - gone_before),
            "1/node/h");
}

void observe_crashes(report& out, setting const& used, std::uint64_t seed)
{
    std::vector<double> suspected;
    std::vector<double> gone;
    for (int trial = 0; trial < crash_trials; ++trial)
    {
        fleet all(seed + static_cast<std::uint64_t>(trial) + 100);
        start_cell(all, used);
        all.run_for(5s + trial * 37ms);
        std::string const victim =
            address_of(2 + trial % (used.cell_nodes - 1));
        std::string const viewer = address_of(1);
        all.crash(victim);
        instant const from = all.now();
        using membership::member_status;
        all.run_until(
            [&] { return all.status(viewer, victim) != member_status::alive; },
            60s);
        suspected.push_back(seconds(all.now() - from));
        all.run_until(
            [&] { return all.status(viewer, victim) == member_status::gone; },
            60s);
        gone.push_back(seconds(all.now() - from));
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
            describe(used),
            mean(suspected),
            "s");
    out.add("detection",
            "suspected after, longest",
            describe(used),
            *std::max_element(suspected.begin(), suspected.end()),
            "s");
    out.add("detection", "gone after, mean", describe(used), mean(gone), "s");
    out.add("detection",
            "gone after, longest",
            describe(used),
            *std::max_element(gone.begin(), gone.end()),
            "s");
}

} // namespace

void measure_detection(report& out, std::uint64_t seed)
{
    std::vector<setting> const settings = {
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
    for (setting used : settings)
    {
        for (double const loss : {0.0, 0.05, 0.1, 0.2})
        {
            used.loss = loss;
            observe_false_alarms(out, used, seed);
            observe_crashes(out, used, seed);
        }
    }
}

} // namespace plantaintally::measure
