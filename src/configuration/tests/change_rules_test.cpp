#include "configuration/configuration.hpp"
#include "configuration/internal/change_rules.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plantaintally;
using namespace plantaintally::configuration;

namespace
{

change make_change(change_body body)
{
    change requested;
    requested.change_id = "id";
    requested.body = std::move(body);
    return requested;
}

std::string refusal_message(document const& content, change_body body)
{
    result<document> const changed =
        apply_change(content, make_change(std::move(body)));
    return changed ? std::string() : changed.error().message;
}

rank_definition make_rank(std::string name)
{
    rank_definition rank;
    rank.name = std::move(name);
    return rank;
}

document document_with_booking_rule()
{
    document content = default_document();
    content.ranks.push_back(make_rank("booking"));
    content.rules.push_back({"book", "duty-desk", "POST", "/slots", "booking"});
    return content;
}

} // namespace

TEST_CASE("the default document has only the rank default")
{
    document const content = default_document();
    REQUIRE(content.ranks.size() == 1);
    CHECK(content.ranks.front().name == "default");
    CHECK(content.revision == 0);
}

TEST_CASE("invalid changes are refused with the reason")
{
    document const content = document_with_booking_rule();
    CHECK(refusal_message(content, create_rank{make_rank("booking")}) ==
          "there is already a rank \"booking\"");
    CHECK(refusal_message(content, create_rank{make_rank("no spaces")}) ==
          "the rank name \"no spaces\" must have 1 to 64 letters, digits, "
          "'-', '_' or '.'");
    CHECK(refusal_message(content, remove_rank{"booking"}) ==
          "the rank \"booking\" is in use by the rule \"book\"");
    CHECK(refusal_message(content, remove_rank{"default"}) ==
          "the rank \"default\" can't be removed");
    CHECK(refusal_message(content, alter_rank{"maps", {}, {}, {}, {}, {}}) ==
          "there is no rank \"maps\"");
    CHECK(
        refusal_message(content, alter_rank{"booking", 5000, {}, {}, {}, {}}) ==
        "urgency 5000 is outside 0 to 1000");
    CHECK(refusal_message(content, alter_rank{"booking", {}, {}, 0, {}, {}}) ==
          "attempt budget 0 is outside 1 to 10");
    CHECK(refusal_message(content,
                          alter_rank{"booking", {}, {}, {}, duration(0), {}}) ==
          "the deadline of rank \"booking\" must be from 1 ms to 10 min");
    CHECK(refusal_message(content, create_rule{{"x", "", "", "", "maps"}}) ==
          "there is no rank \"maps\"");
    CHECK(refusal_message(content,
                          create_rule{{"book", "", "", "", "booking"}}) ==
          "there is already a rule \"book\"");
    CHECK(
        refusal_message(content, create_rule{{"x", "", "", "a", "booking"}}) ==
        "the path prefix of rule \"x\" must begin with '/'");
    CHECK(refusal_message(content, remove_rule{"x"}) ==
          "there is no rule \"x\"");
    CHECK(refusal_message(content, undrain_node{"10.0.0.1:1"}) ==
          "the node \"10.0.0.1:1\" is not drained");
}

TEST_CASE("altering a rank keeps the fields without a new value")
{
    document const content = document_with_booking_rule();
    result<document> const changed = apply_change(
        content, make_change(alter_rank{"booking", 9, {}, {}, {}, true}));
    REQUIRE(changed.has_value());
    rank_definition const* rank = find_rank(changed.value(), "booking");
    REQUIRE(rank != nullptr);
    CHECK(rank->urgency == 9);
    CHECK(rank->is_protected);
    CHECK(rank->worth == rank_definition{}.worth);
    CHECK(changed.value().revision == content.revision);
}

TEST_CASE("the most specific rule determines the rank")
{
    document content = document_with_booking_rule();
    content.ranks.push_back(make_rank("browse"));
    content.rules.push_back({"all", "", "", "/", "browse"});
    content.rules.push_back({"desk", "duty-desk", "", "", "browse"});
    CHECK(classify(content, "duty-desk", "POST", "/slots/3").name == "booking");
    CHECK(classify(content, "duty-desk", "GET", "/slots/3").name == "browse");
    CHECK(classify(content, "sheet-press", "GET", "/x").name == "browse");
    content.rules.clear();
    CHECK(classify(content, "duty-desk", "GET", "/").name == "default");
}

TEST_CASE("the document keeps records of the last 512 changes")
{
    document content = default_document();
    for (std::uint64_t revision = 1; revision <= 600; ++revision)
    {
        change toggle = make_change(drain_node{"10.0.0.1:1"});
        if (revision % 2 == 0)
        {
            toggle = make_change(undrain_node{"10.0.0.1:1"});
        }
        toggle.change_id = std::to_string(revision);
        toggle.text = "toggle";
        result<document> changed = make_successor(content, toggle);
        REQUIRE(changed.has_value());
        content = changed.value();
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
