#include "logging/logging.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;

TEST_CASE(
    "a plain record stays on one line even if a value contains a line break")
{
    logging::record const line{logging::level::warning,
                               "drivers",
                               "request-malformed",
                               {{"reason", "bad\nvalue"}, {"count", "2"}}};
    CHECK(logging::format_record(
              line, logging::format::plain, "10.0.0.1:7000", "T") ==
          "T warning 10.0.0.1:7000 drivers request-malformed "
          "reason=bad?value count=2");
}

TEST_CASE(
    "a JSON record is valid even if values contain reserved names or invalid "
    "UTF-8")
{
    logging::record const line{logging::level::info,
                               "once",
                               "epoch-activated",
                               {{"kind", "x"}, {"bytes", "a\n\xff"}}};
    CHECK(logging::format_record(line, logging::format::json, "n", "T") ==
          R"({"time":"T","level":"info","node":"n","subject":"once",)"
          R"("kind":"epoch-activated","kind_":"x",)"
          "\"bytes\":\"a\\n\xEF\xBF\xBD\"}");
}

TEST_CASE("the detail of a time-line entry is split into fields")
{
    CHECK(logging::split_detail("rank=booking  slow limit=a=b") ==
          logging::fields{
              {"rank", "booking"}, {"note", "slow"}, {"limit", "a=b"}});
    CHECK(logging::split_detail("").empty());
}

TEST_CASE("a plain line of an entry equals that of a record with its fields")
{
    timeline_entry const entry{
        {17, 2}, "r-1", "routing", "forwarded", "to=10.0.0.2:7 load=\n3"};
    logging::record const line{logging::level::debug,
                               "routing",
                               "forwarded",
                               {{"at", "17.2"},
                                {"trace_id", "r-1"},
                                {"to", "10.0.0.2:7"},
                                {"load", "\n3"}}};
    CHECK(logging::format_entry(entry, logging::level::debug, "n", "T") ==
          logging::format_record(line, logging::format::plain, "n", "T"));
}

TEST_CASE("a log file that can't be opened is reported as an error")
{
    logging::options options;
    options.file = "/dev/null/no.log";
    CHECK(logging::start(options).has_error());
}
