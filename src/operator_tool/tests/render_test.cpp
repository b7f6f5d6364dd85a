#include "operator_tool/render.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace plantaintally;
using namespace plantaintally::operator_tool;

namespace
{

command_reply sample_reply()
{
    return {"ok",
            "2 of 2 nodes answered",
            {{"rank", "admitted"}, {{"booking", "7"}, {"browse", "12"}}}};
}

} // namespace

TEST_CASE("a table aligns its columns")
{
    CHECK(render_table(sample_reply()) == "rank     admitted\n"
                                          "booking  7\n"
                                          "browse   12\n"
                                          "2 of 2 nodes answered\n");
}

TEST_CASE("a reply whose status is not ok is printed with the status")
{
    command_reply const reply{"conflict", "revision is 8", {}};
    CHECK(render_table(reply) == "conflict: revision is 8\n");
}

TEST_CASE("JSON rows are objects whose members are named after the columns")
{
    auto const json = nlohmann::json::parse(render_json(sample_reply()));
    CHECK(json["status"] == "ok");
    CHECK(json["rows"][1]["rank"] == "browse");
    CHECK(json["rows"][1]["admitted"] == "12");
}

TEST_CASE("a trace has a process per node and a span per request")
{
    command_reply const reply{
        "ok",
        "",
        {{"time", "node", "request", "subject", "kind", "detail"},
         {{"0000000000001000.000000", "a:1", "r", "node", "arrived", ""},
          {"0000000000001500.000000", "a:1", "r", "node", "answered", ""},
          {"0000000000001200.000000", "b:1", "r", "node", "arrived", ""}}}};
    auto const json = nlohmann::json::parse(render_trace(reply));
    std::size_t processes = 0;
    std::int64_t longest_us = 0;
    for (auto const& event : json["traceEvents"])
    {
        processes += event["ph"] == "M" ? 1 : 0;
        if (event["ph"] == "X")
        {
            longest_us = std::max(longest_us, event["dur"].get<std::int64_t>());
        }
    }
    CHECK(processes == 2);
    CHECK(longest_us == 500);
}

TEST_CASE("text that is not valid UTF-8 is rendered")
{
    command_reply const reply{"ok", "\xff", {{"a"}, {{"\xfe"}}}};
    CHECK(nlohmann::json::parse(render_json(reply))["status"] == "ok");
}
