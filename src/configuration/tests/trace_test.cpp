// Replays traces of operators who race each other, and checks the outcomes
// that each trace states. A trace is a file of JSON lines: changes and faults
// of the store with their times, then the outcomes.
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
// Time after the last step until the outcomes hold.
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

void start_nodes(fleet& all)
{
    for (int index = 1; index <= node_count; ++index)
    {
        all.start_node(address_of(index),
                       std::string("zone-") +
                           static_cast<char>('a' + index % 3),
                       "rota-board",
                       {address_of(1), address_of(2)});
    }
    all.run_for(10s);
}

void take_step(fleet& all, json const& line)
{
    if (line.contains("store"))
    {
        json const& fault = line["store"];
        all.store.is_down = fault.value("is_down", all.store.is_down);
        all.store.answers_to_lose =
            fault.value("answers_to_lose", all.store.answers_to_lose);
        return;
    }
    configuration::change requested;
    codec::read_value(line["change"], requested);
    all.submit(address_of(line["node"].get<int>()),
               line["command"].get<std::uint64_t>(),
               requested);
}

// The answer to the command that the line names.
std::string answer_to(fleet& all, json const& line)
{
    return all.command_status(address_of(line["node"].get<int>()),
                              line["command"].get<std::uint64_t>());
}

// What the line states of the document in force holds at every node.
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

// One of the commands was accepted, and the others were answered as stated.
void check_one_accepted(fleet& all, json const& line)
{
    int accepted = 0;
    for (json const& command : line["of"])
    {
        std::string const status = answer_to(all, command);
        bool const is_accepted = status == "ok";
        accepted += is_accepted ? 1 : 0;
        CHECK((is_accepted || status == line["others"]));
    }
    CHECK(accepted == 1);
}

void check_outcome(fleet& all, json const& line)
{
    CAPTURE(line.dump());
    for (int index = 1; index <= node_count; ++index)
    {
        check_document(
            configuration::current(all.at(address_of(index)).configuration),
            line);
    }
    auto const kind = line["outcome"].get<std::string>();
    if (kind == "answer")
    {
        CHECK(answer_to(all, line) == line["status"].get<std::string>());
    }
    if (kind == "one-accepted")
    {
        check_one_accepted(all, line);
    }
}

void replay(std::string const& name)
{
    std::vector<json> const lines =
        read_lines(std::filesystem::path(trace_folder) / name);
    REQUIRE(!lines.empty());
    fleet all(1);
    start_nodes(all);
    instant const begin = all.now();
    for (json const& line : lines)
    {
        if (line.contains("at_ms"))
        {
            instant const due =
                begin + std::chrono::milliseconds(line["at_ms"].get<int>());
            all.run_for(due - all.now());
            take_step(all, line);
        }
    }
    all.run_for(settling_time);
    for (json const& line : lines)
    {
        if (line.contains("outcome"))
        {
            check_outcome(all, line);
        }
    }
}

} // namespace

TEST_CASE("replay: operators change the same rank at the same time")
{
    replay("racing-same-rank.jsonl");
}

TEST_CASE("replay: racing changes whose answers are lost")
{
    replay("racing-with-lost-answers.jsonl");
}

TEST_CASE("replay: changes before, during and after an outage of the store")
{
    replay("racing-through-an-outage.jsonl");
}
