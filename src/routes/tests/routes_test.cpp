#include "routes/routes.hpp"

#include "codec/route_table_codec.hpp"
#include "test_fleet/step_bench.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace plantaintally;
using namespace std::chrono_literals;

namespace
{

routes::route_rule make_rule(std::string name, std::string prefix)
{
    routes::route_rule rule;
    rule.name = std::move(name);
    rule.host = "a.example";
    rule.prefix = std::move(prefix);
    rule.targets = {{"board", 1}};
    return rule;
}

routes::route_table make_table(std::uint64_t version)
{
    routes::route_table table;
    table.version = version;
    table.rules = {make_rule("all", "/x/"), make_rule("deep", "/x/y/")};
    return table;
}

// The routes state of one node, with the effects of the last step.
struct routes_fixture : step_bench
{
    routes::state routes;

    routes_fixture()
    {
        this->routes.is_enabled = true;
        this->routes.self.address = "10.0.0.1:7000";
        auto current = this->begin();
        routes::start(this->routes, current);
        this->advance(0s);
    }

    void advance(duration elapsed)
    {
        this->now += elapsed;
        std::vector<std::string> const peers{"10.0.0.2:7000"};
        auto current = this->begin();
        routes::handle_time(this->routes, peers, 2, current);
    }

    // The store call that the last step emitted, or nullptr.
    call_store const* call() const
    {
        return this->find<call_store>();
    }

    bool has_asked_peers() const
    {
        return this->find<send_control>() != nullptr;
    }

    // Answers the last step's store call, then performs the actions that are
    // due.
    void reply(store_result const& result)
    {
        auto const call_id = this->call()->call;
        auto current = this->begin();
        routes::handle_store(this->routes, call_id, result, current);
        this->advance(0s);
    }

    void reply_table(std::uint64_t version, std::uint64_t cursor)
    {
        this->reply(store_entry{std::string(routes::table_key),
                                codec::encode_route_table(make_table(version)),
                                cursor,
                                cursor});
    }
};

} // namespace

TEST_CASE("the rule with the longest matching prefix is chosen")
{
    routes_fixture node;
    node.reply_table(3, 10);
    CHECK(routes::find_rule(node.routes, "a.example", "/x/y/1")->name ==
          "deep");
    CHECK(routes::find_rule(node.routes, "a.example", "/x/z")->name == "all");
    CHECK(routes::find_rule(node.routes, "a.example", "/z") == nullptr);
    CHECK(routes::find_rule(node.routes, "b.example", "/x/y/1") == nullptr);
}

TEST_CASE("a hundred requests are split exactly by the targets' weights")
{
    routes_fixture node;
    routes::route_rule rule = make_rule("split", "/s/");
    rule.targets = {{"board", 90}, {"desk", 10}};
    std::map<std::string, int> seen;
    for (int count = 0; count < 100; ++count)
    {
        ++seen[routes::choose_service(node.routes, rule)];
    }
    CHECK(seen["board"] == 90);
    CHECK(seen["desk"] == 10);
}

TEST_CASE(
    "after the first read the store is watched from the cursor of the read")
{
    routes_fixture node;
    node.reply_table(3, 10);
    REQUIRE(node.call() != nullptr);
    auto const& watch = std::get<store_watch>(node.call()->request);
    CHECK(watch.after_revision == 10);
    node.reply(store_unchanged{25});
    CHECK(std::get<store_watch>(node.call()->request).after_revision == 25);
}

TEST_CASE("the table is read again after the store has lost its history")
{
    routes_fixture node;
    node.reply_table(3, 10);
    node.reply(store_history_lost{});
    REQUIRE(node.call() != nullptr);
    CHECK(std::holds_alternative<store_get>(node.call()->request));
}

TEST_CASE("the table is never replaced by an older version")
{
    routes_fixture node;
    node.reply_table(5, 10);
    node.reply_table(4, 11);
    CHECK(node.routes.in_force.version == 5);
    auto current = node.begin();
    routes::handle_message(node.routes,
                           {"10.0.0.2:7000", 1},
                           routes::table_update{make_table(3)},
                           current);
    CHECK(node.routes.in_force.version == 5);
}

TEST_CASE("a table that can't be decoded leaves the current one in force")
{
    routes_fixture node;
    node.reply_table(5, 10);
    node.reply(store_entry{std::string(routes::table_key), "{", 11, 11});
    CHECK(node.routes.in_force.version == 5);
    CHECK(routes::is_ready(node.routes));
}

TEST_CASE("without the store a new node adopts the table of a peer")
{
    routes_fixture node;
    node.reply(store_unavailable{false});
    CHECK_FALSE(routes::is_ready(node.routes));
    node.advance(300ms);
    CHECK(node.has_asked_peers());
    auto current = node.begin();
    routes::handle_message(node.routes,
                           {"10.0.0.2:7000", 1},
                           routes::table_update{make_table(3)},
                           current);
    CHECK(routes::is_ready(node.routes));
}

TEST_CASE("a peer with a newer version is asked for its table")
{
    routes_fixture node;
    node.reply_table(3, 10);
    auto current = node.begin();
    routes::note_peer_version(node.routes, "10.0.0.2:7000", 3, current);
    CHECK_FALSE(node.has_asked_peers());
    routes::note_peer_version(node.routes, "10.0.0.2:7000", 4, current);
    CHECK(node.has_asked_peers());
}

TEST_CASE("calls to an unavailable store back off")
{
    routes_fixture node;
    int calls = 0;
    for (int count = 0; count < 500; ++count)
    {
        if (node.call() != nullptr)
        {
            ++calls;
            node.reply(store_unavailable{true});
        }
        else
        {
            node.advance(10ms);
        }
    }
    CHECK(calls <= 15);
    CHECK(calls >= 3);
}
