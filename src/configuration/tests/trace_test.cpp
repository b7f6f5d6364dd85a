// Replays traces of operators who submit changes concurrently, and checks the
// outcomes listed in each trace. A trace is a JSON Lines file: timed changes
// and store faults, followed by the expected outcomes.
#include "codec/internal/configuration_json.hpp"
#include "configuration/configuration.hpp"
#include "test_fleet/fleet.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace plantaintally;
using namespace std::chrono_literals;
using codec::json;
using test_fleet::fleet;

namespace
{

constexpr int node_count = 6;
constexpr char const* trace_folder = "src/configuration/tests/traces";
// Time from the last change or fault until the outcomes are checked.
constexpr duration settling_time = 12s;

std::string address_of(int index)
{
    return "10.0.0." + std::to_string(index) + ":7000";
}

std::vector<json> read_lines(std::filesystem::path const& path)
{
    std::vector<json> lines;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line))
    {
        lines.push_back(json::parse(line));
    }
    return lines;
}

void start_nodes(fleet& cluster)
{
    for (int index = 1; index <= node_count; ++index)
    {
        cluster.start_node(address_of(index),
                           std::string("zone-") +
                               static_cast<char>('a' + index % 3),
                           "rota-board",
                           {address_of(1), address_of(2)});
    }
    cluster.run_for(10s);
}

void apply_trace_step(fleet& cluster, json const& line)
{
    if (line.contains("store"))
    {
        json const& fault = line["store"];
        cluster.store.is_down = fault.value("is_down", cluster.store.is_down);
        cluster.store.answers_to_lose =
            fault.value("answers_to_lose", cluster.store.answers_to_lose);
        return;
    }
    configuration::change requested;
    codec::read_value(line["change"], requested);
    cluster.submit(address_of(line["node"].get<int>()),
                   line["command"].get<std::uint64_t>(),
                   requested);
}

// The status of the answer to the command in the line.
std::string answer_status(fleet& cluster, json const& line)
{
    return cluster.command_status(address_of(line["node"].get<int>()),
                                  line["command"].get<std::uint64_t>());
}

// Checks a document against the outcome in the line.
void check_document(configuration::document const& content, json const& line)
{
    auto const kind = line["outcome"].get<std::string>();
    if (kind == "changes")
    {
        CHECK(content.changes.size() == line["count"].get<std::size_t>());
    }
    if (kind == "rank")
    {
        auto const* rank =
            configuration::find_rank(content, line["name"].get<std::string>());
        REQUIRE(rank != nullptr);
        CHECK(rank->urgency == line.value("urgency", rank->urgency));
    }
}

// Checks that one of the commands was accepted and that the others were
// answered with the expected status.
void check_one_accepted(fleet& cluster, json const& line)
{
    int accepted = 0;
    for (json const& command : line["of"])
    {
        std::string const status = answer_status(cluster, command);
        bool const is_accepted = status == "ok";
        accepted += is_accepted ? 1 : 0;
        CHECK((is_accepted || status == line["others"]));
    }
    CHECK(accepted == 1);
}

void check_outcome(fleet& cluster, json const& line)
{
    CAPTURE(line.dump());
    for (int index = 1; index <= node_count; ++index)
    {
        check_document(
            configuration::current(cluster.at(address_of(index)).configuration),
            line);
    }
    auto const kind = line["outcome"].get<std::string>();
    if (kind == "answer")
    {
        CHECK(answer_status(cluster, line) ==
              line["status"].get<std::string>());
    }
    if (kind == "one-accepted")
    {
        check_one_accepted(cluster, line);
    }
}

void replay(std::string const& name)
{
    std::vector<json> const lines =
        read_lines(std::filesystem::path(trace_folder) / name);
    REQUIRE(!lines.empty());
    fleet cluster(1);
    start_nodes(cluster);
    instant const begin = cluster.now();
    for (json const& line : lines)
    {
        if (line.contains("at_ms"))
        {
            instant const due =
                begin + std::chrono::milliseconds(line["at_ms"].get<int>());
            cluster.run_for(due - cluster.now());
            apply_trace_step(cluster, line);
        }
    }
    cluster.run_for(settling_time);
    for (json const& line : lines)
    {
        if (line.contains("outcome"))
        {
            check_outcome(cluster, line);
        }
    }
}

} // namespace

TEST_CASE("replay: operators change the same rank at the same time")
{
    replay("racing-same-rank.jsonl");
}

TEST_CASE("replay: concurrent changes whose answers are lost")
{
    replay("racing-with-lost-answers.jsonl");
}

TEST_CASE("replay: changes before, during and after an outage of the store")
{
    replay("racing-through-an-outage.jsonl");
}
