#include "configuration/configuration.hpp"
#include "configuration/internal/change_rules.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plantaintally;
using namespace plantaintally::configuration;

namespace
{

change change_of(change_body body)
{
    change made;
    made.change_id = "id";
    made.body = std::move(body);
    return made;
}

std::string refusal_of(document const& content, change_body body)
{
    result<document> const made =
        apply_change(content, change_of(std::move(body)));
    return made ? std::string() : made.error().message;
}

rank_definition rank_named(std::string name)
{
    rank_definition rank;
    rank.name = std::move(name);
    return rank;
}

document with_booking_rule()
{
    document content = default_document();
    content.ranks.push_back(rank_named("booking"));
    content.rules.push_back({"book", "duty-desk", "POST", "/slots", "booking"});
    return content;
}

} // namespace

TEST_CASE("the default document has the rank default only")
{
    document const content = default_document();
    REQUIRE(content.ranks.size() == 1);
    CHECK(content.ranks.front().name == "default");
    CHECK(content.revision == 0);
}

TEST_CASE("invalid changes are refused with the reason")
{
    document const content = with_booking_rule();
    CHECK(refusal_of(content, create_rank{rank_named("booking")}) ==
          "there is already a rank \"booking\"");
    CHECK(refusal_of(content, create_rank{rank_named("no spaces")}) ==
          "the rank name \"no spaces\" must have 1 to 64 letters, digits, "
          "'-', '_' or '.'");
    CHECK(refusal_of(content, remove_rank{"booking"}) ==
          "the rank \"booking\" is in use by the rule \"book\"");
    CHECK(refusal_of(content, remove_rank{"default"}) ==
          "the rank \"default\" can't be removed");
    CHECK(refusal_of(content, alter_rank{"maps", {}, {}, {}, {}, {}}) ==
          "there is no rank \"maps\"");
    CHECK(refusal_of(content, alter_rank{"booking", 5000, {}, {}, {}, {}}) ==
          "urgency 5000 is outside 0 to 1000");
    CHECK(refusal_of(content, alter_rank{"booking", {}, {}, 0, {}, {}}) ==
          "attempt budget 0 is outside 1 to 10");
    CHECK(refusal_of(content,
                     alter_rank{"booking", {}, {}, {}, duration(0), {}}) ==
          "the deadline of rank \"booking\" must be from 1 ms to 10 min");
    CHECK(refusal_of(content, create_rule{{"x", "", "", "", "maps"}}) ==
          "there is no rank \"maps\"");
    CHECK(refusal_of(content, create_rule{{"book", "", "", "", "booking"}}) ==
          "there is already a rule \"book\"");
    CHECK(refusal_of(content, create_rule{{"x", "", "", "a", "booking"}}) ==
          "the path prefix of rule \"x\" must begin with '/'");
    CHECK(refusal_of(content, remove_rule{"x"}) == "there is no rule \"x\"");
    CHECK(refusal_of(content, undrain_node{"10.0.0.1:1"}) ==
          "the node \"10.0.0.1:1\" is not drained");
}

TEST_CASE("altering a rank leaves the fields that are not stated")
{
    document const content = with_booking_rule();
    result<document> const made = apply_change(
        content, change_of(alter_rank{"booking", 9, {}, {}, {}, true}));
    REQUIRE(made.has_value());
    rank_definition const* rank = find_rank(made.value(), "booking");
    REQUIRE(rank != nullptr);
    CHECK(rank->urgency == 9);
    CHECK(rank->is_protected);
    CHECK(rank->worth == rank_definition{}.worth);
    CHECK(made.value().revision == content.revision);
}

TEST_CASE("the most specific rule gives the rank")
{
    document content = with_booking_rule();
    content.ranks.push_back(rank_named("browse"));
    content.rules.push_back({"all", "", "", "/", "browse"});
    content.rules.push_back({"desk", "duty-desk", "", "", "browse"});
    CHECK(classify(content, "duty-desk", "POST", "/slots/3").name == "booking");
    CHECK(classify(content, "duty-desk", "GET", "/slots/3").name == "browse");
    CHECK(classify(content, "sheet-press", "GET", "/x").name == "browse");
    content.rules.clear();
    CHECK(classify(content, "duty-desk", "GET", "/").name == "default");
}

TEST_CASE("the last 512 changes are remembered")
{
    document content = default_document();
    for (std::uint64_t revision = 1; revision <= 600; ++revision)
    {
        change toggle = change_of(drain_node{"10.0.0.1:1"});
        if (revision % 2 == 0)
        {
            toggle = change_of(undrain_node{"10.0.0.1:1"});
        }
        toggle.change_id = std::to_string(revision);
        toggle.text = "toggle";
        result<document> made = make_successor(content, toggle);
        REQUIRE(made.has_value());
        content = made.value();
        set_revision(content, revision);
    }
    CHECK(content.changes.size() == max_change_records);
    CHECK(find_change(content, "600")->revision == 600);
    CHECK(find_change(content, "600")->text == "toggle");
    CHECK(find_change(content, "500")->text.empty());
    CHECK(find_change(content, "89")->revision == 89);
    CHECK(find_change(content, "88") == nullptr);
    CHECK(check_commutes(content, 89, "rank:other").has_value());
    CHECK(!check_commutes(content, 88, "rank:other").has_value());
    CHECK(!check_commutes(content, 599, "node:10.0.0.1:1").has_value());
}
