#include "timeline/journal.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;

namespace
{

timeline_entry entry_at(std::int64_t wall_us, std::string trace_id)
{
    timeline_entry entry;
    entry.at.wall_us = wall_us;
    entry.trace_id = std::move(trace_id);
    return entry;
}

} // namespace

TEST_CASE("the journal drops its oldest entries and counts them")
{
    timeline::journal log;
    log.entry_limit = 3;
    for (int i = 0; i < 5; ++i)
    {
        timeline::append(log, entry_at(i, "r"));
    }
    REQUIRE(log.entries.size() == 3);
    CHECK(log.entries.front().at.wall_us == 2);
    CHECK(log.dropped == 2);
}

TEST_CASE("the entries of a request are returned in chronological order")
{
    timeline::journal log;
    timeline::append(log, entry_at(20, "a"));
    timeline::append(log, entry_at(15, "b"));
    timeline::append(log, entry_at(10, "a"));
    auto const found = timeline::entries_of(log, "a");
    REQUIRE(found.size() == 2);
    CHECK(found[0].at.wall_us == 10);
    CHECK(found[1].at.wall_us == 20);
}

TEST_CASE("entries_since returns the newest entries up to the limit")
{
    timeline::journal log;
    for (int i = 0; i < 10; ++i)
    {
        timeline::append(log, entry_at(i, "r"));
    }
    auto const found = timeline::entries_since(log, 3, 2);
    REQUIRE(found.size() == 2);
    CHECK(found[0].at.wall_us == 8);
    CHECK(found[1].at.wall_us == 9);
}
