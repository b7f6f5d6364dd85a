#include "query/language.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaintally;
using namespace plantaintally::query;

namespace
{

template <class Statement>
Statement parse_as(std::string_view text)
{
    result<statement> const parsed = parse_statement(text);
    INFO(text);
    REQUIRE(parsed.has_value());
    REQUIRE(std::holds_alternative<Statement>(parsed.value()));
    return std::get<Statement>(parsed.value());
}

std::string message_of(std::string_view text)
{
    result<statement> const parsed = parse_statement(text);
    INFO(text);
    REQUIRE(parsed.has_error());
    return parsed.error().message;
}

} // namespace

TEST_CASE(
    "a work query is parsed into counters, grouping, filters and time span")
{
    auto const query = parse_as<show_work>(
        "show admitted, shed by rank, service where service is duty-desk and "
        "zone is zh-1 last 5m");
    CHECK(query.counters == std::vector<work_counter>{work_counter::admitted,
                                                      work_counter::shed});
    CHECK(query.grouping ==
          std::vector<dimension>{dimension::rank, dimension::service});
    REQUIRE(query.filters.size() == 2);
    CHECK(query.filters[0] == filter{dimension::service, "duty-desk"});
    CHECK(query.filters[1] == filter{dimension::availability_zone, "zh-1"});
    CHECK(query.last == std::chrono::minutes(5));
}

TEST_CASE("show work needs no clauses")
{
    CHECK(parse_as<show_work>("show work") == show_work{});
    CHECK(parse_as<show_work>("SHOW Work;") == show_work{});
}

TEST_CASE("the other queries are parsed")
{
    parse_as<show_ranks>("show ranks");
    parse_as<show_rules>("show rules");
    parse_as<show_changes>("show changes");
    parse_as<show_configuration>("show configuration");
    parse_as<show_help>("help");
    CHECK(parse_as<why_request>("why 01-ab.c").trace_id == "01-ab.c");
    CHECK(parse_as<show_timeline>("show timeline last 2s").last ==
          std::chrono::seconds(2));
    CHECK(parse_as<show_members>("show members where service is maps")
              .filters.size() == 1);
}

TEST_CASE("create rank accepts its fields in any order")
{
    auto const change = parse_as<configuration::change>(
        "create rank booking worth 50 urgency 90 protected attempts 2 "
        "deadline 1500ms with id c-1");
    CHECK(change.change_id == "c-1");
    auto const& rank = std::get<configuration::create_rank>(change.body).rank;
    CHECK(rank.name == "booking");
    CHECK(rank.urgency == 90);
    CHECK(rank.worth == 50);
    CHECK(rank.attempt_budget == 2);
    CHECK(rank.deadline == std::chrono::milliseconds(1500));
    CHECK(rank.is_protected);
}

TEST_CASE("alter rank leaves unmentioned fields unset")
{
    auto const change = parse_as<configuration::change>(
        "alter rank maps worth 3 unprotected if revision 17");
    CHECK(change.expected_revision == 17);
    auto const& altered = std::get<configuration::alter_rank>(change.body);
    CHECK(altered.worth == 3U);
    CHECK(altered.is_protected == false);
    CHECK_FALSE(altered.urgency.has_value());
    CHECK_FALSE(altered.deadline.has_value());
}

TEST_CASE("rules, drains and removals are parsed")
{
    auto const created = parse_as<configuration::change>(
        "create rule book service duty-desk method POST path /book rank "
        "booking");
    auto const& rule = std::get<configuration::create_rule>(created.body).rule;
    CHECK(rule.service == "duty-desk");
    CHECK(rule.method == "POST");
    CHECK(rule.path_prefix == "/book");
    CHECK(rule.rank == "booking");
    auto const drained =
        parse_as<configuration::change>("drain 127.0.0.1:7201");
    CHECK(std::get<configuration::drain_node>(drained.body).address ==
          "127.0.0.1:7201");
    auto const removed = parse_as<configuration::change>("remove rule book");
    CHECK(std::get<configuration::remove_rule>(removed.body).name == "book");
}

TEST_CASE("a syntax error states the column, the expected and the found token")
{
    CHECK(message_of("create rank booking urgency high") ==
          "column 29: expected a whole number, found 'high'; 'help' lists the "
          "statements");
    CHECK(
        message_of("show everything").find("column 6: expected one of work") ==
        0);
    CHECK(message_of("why").find("column 4: expected a request id, found the "
                                 "end") == 0);
    CHECK(message_of("show work last 5 apples").find("a span of time") !=
          std::string::npos);
    CHECK(message_of("show ranks now").find("the end of the statement") !=
          std::string::npos);
    CHECK(message_of("").find("column 1") == 0);
}

TEST_CASE("numbers and time spans out of range are rejected")
{
    message_of("create rank x urgency 99999999999");
    message_of("create rank x deadline 9999999h");
    message_of("create rank x urgency -1");
}

TEST_CASE("a statement that is too long is rejected")
{
    std::string const text = "why " + std::string(max_statement_bytes, 'a');
    CHECK(parse_statement(text).error().code == errc::too_large);
}

TEST_CASE("changes are distinguished from queries by their verb")
{
    CHECK(is_change("  Create rank x"));
    CHECK(is_change("undrain a:1"));
    CHECK_FALSE(is_change("show work"));
    CHECK_FALSE(is_change(""));
    CHECK_FALSE(is_change("creates"));
}

TEST_CASE("random words yield a statement or an error")
{
    std::vector<std::string> const words = {
        "show",  "work",      "by",
        "rank",  ",",         "where",
        "is",    "last",      "create",
        "alter", "rule",      "5s",
        "7",     "\"",        "why",
        "if",    "revision",  "with",
        "id",    "protected", ";",
        "\xff",  "urgency",   "drain",
        "x:1",   "help",      "999999999999999999999"};
    bool const holds = rc::check(
        [&words]
        {
            auto const indices = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, words.size()));
            std::string text;
            for (std::size_t const index : indices)
            {
                text += words[index] + " ";
            }
            result<statement> const parsed = parse_statement(text);
            RC_ASSERT(parsed.has_value() || !parsed.error().message.empty());
        });
    CHECK(holds);
}

TEST_CASE("random bytes yield a statement or an error")
{
    bool const holds = rc::check(
        [](std::string const& text)
        {
            result<statement> const parsed = parse_statement(text);
            RC_ASSERT(parsed.has_value() || !parsed.error().message.empty());
        });
    CHECK(holds);
}
