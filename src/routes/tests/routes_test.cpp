#include "routes/routes.hpp"

#include "codec/route_table_codec.hpp"
#include "test_fleet/step_bench.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
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
    table.services = {{"desk", "/health"}, {"board", ""}};
    return table;
}

// The routes state of one node, with the effects of the last step.
struct routes_fixture : step_bench
{
    routes::state routes;
    std::size_t fleet_size = 2;

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
        routes::handle_time(this->routes, peers, this->fleet_size, current);
    }

    // The store call that the last step emitted, or nullptr.
    call_store const* call() const
    {
        return this->find<call_store>();
    }

    // True if the last step emitted a watch of the store.
    bool has_begun_watch() const
    {
        return this->call() != nullptr &&
               std::holds_alternative<store_watch>(this->call()->request);
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

// A node of a large fleet that has read its table and leaves it to others to
// watch the store.
routes_fixture make_unwatching_node()
{
    for (int host = 1;; ++host)
    {
        routes_fixture node;
        node.fleet_size = 64;
        node.routes.self.address = "10.0.1." + std::to_string(host) + ":7000";
        node.reply_table(3, 10);
        if (!node.has_begun_watch())
        {
            return node;
        }
    }
}

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

TEST_CASE("a table states the health endpoints of the services")
{
    routes_fixture node;
    CHECK(routes::health_path(node.routes, "desk").empty());
    node.reply_table(3, 10);
    CHECK(routes::health_path(node.routes, "desk") == "/health");
    CHECK(routes::health_path(node.routes, "board").empty());
    CHECK(routes::health_path(node.routes, "maps").empty());
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

TEST_CASE("a peer is asked once for a version, and again if it does not answer")
{
    routes_fixture node;
    node.reply_table(3, 10);
    auto const is_asked = [&](std::uint64_t version)
    {
        auto current = node.begin();
        routes::handle_message(node.routes,
                               {"10.0.0.2:7000", 1},
                               routes::table_notice{version},
                               current);
        return node.has_asked_peers();
    };
    CHECK(is_asked(4));
    CHECK_FALSE(is_asked(4));
    CHECK(is_asked(5));
    node.now += 250ms;
    CHECK(is_asked(5));
}

// Guards against a node that is in no peer's view of the fleet, for example
// since its upstream has not reported to it: nobody notifies such a node.
TEST_CASE("a node that hears nothing from its peers watches the store itself")
{
    auto node = make_unwatching_node();
    node.advance(1s);
    CHECK_FALSE(node.has_begun_watch());
    node.advance(600ms);
    REQUIRE(node.has_begun_watch());
    CHECK(std::get<store_watch>(node.call()->request).after_revision == 10);
    node.reply_table(4, 11);
    CHECK(node.routes.in_force.version == 4);
    CHECK(node.has_begun_watch());
}

TEST_CASE("a node whose peers state their version leaves the watch to others")
{
    auto node = make_unwatching_node();
    for (int count = 0; count < 60; ++count)
    {
        node.advance(500ms);
        REQUIRE_FALSE(node.has_begun_watch());
        auto current = node.begin();
        routes::note_peer_version(node.routes, "10.0.0.2:7000", 3, current);
    }
    instant const last_heard = node.now;
    while (!node.has_begun_watch() && node.now < last_heard + 1500ms)
    {
        auto const next = routes::next_wakeup(node.routes);
        REQUIRE(next);
        node.advance(*next - node.now);
    }
    CHECK(node.has_begun_watch());
    CHECK(node.now == last_heard + 1500ms);
}

// Guards against a peer that states a newer version but can't be asked for it,
// since the link to it is silent.
TEST_CASE("a version that no peer sends is read from the store")
{
    auto node = make_unwatching_node();
    auto const hear = [&](std::uint64_t version)
    {
        auto current = node.begin();
        routes::note_peer_version(
            node.routes, "10.0.0.2:7000", version, current);
    };
    auto const is_reading = [&]
    {
        return node.call() != nullptr &&
               std::holds_alternative<store_get>(node.call()->request);
    };
    hear(4);
    node.advance(300ms);
    CHECK(node.call() == nullptr);
    hear(4);
    node.advance(200ms);
    REQUIRE(is_reading());
    auto const read = node.call()->call;
    // Repeated only if a peer still states the version, also while the first
    // call has no result.
    node.advance(500ms);
    CHECK(node.call() == nullptr);
    hear(4);
    node.advance(500ms);
    CHECK(is_reading());
    auto current = node.begin();
    routes::handle_store(node.routes,
                         read,
                         store_entry{std::string(routes::table_key),
                                     codec::encode_route_table(make_table(4)),
                                     11,
                                     11},
                         current);
    CHECK(node.routes.in_force.version == 4);
    hear(4);
    node.advance(1s);
    CHECK_FALSE(is_reading());
}

TEST_CASE(
    "a fleet of 300 learns a change within its bound from few store calls")
{
    // Control messages take 2 ms. Heartbeats go to eight random nodes every
    // half second, as in membership.
    constexpr std::size_t fleet_size = 300;
    constexpr duration message_delay = 2ms;
    constexpr duration heartbeat_interval = 500ms;
    constexpr std::size_t heartbeat_fanout = 8;
    constexpr duration apply_bound = 2s;
    constexpr std::uint64_t old_version = 3;
    constexpr std::uint64_t new_version = 4;
    struct delivery
    {
        instant when{};
        std::size_t from = 0;
        std::size_t to = 0;
        routes::message content;
    };
    std::vector<routes_fixture> nodes(fleet_size);
    std::map<std::string, std::size_t> by_address;
    std::deque<delivery> in_flight;
    random_source random(5);
    instant const start = nodes.front().now;
    std::size_t store_calls = 0;

    auto const address_of = [](std::size_t index)
    {
        return "10.0.0." + std::to_string(index) + ":7000";
    };
    // Performs what is due at a node and sends its messages.
    auto const settle = [&](std::size_t index, instant now)
    {
        routes_fixture& node = nodes[index];
        for (effect const& each : node.out)
        {
            auto const* const sent = std::get_if<send_control>(&each);
            if (sent != nullptr)
            {
                in_flight.push_back({now + message_delay,
                                     index,
                                     by_address.at(sent->address),
                                     std::get<routes::message>(sent->message)});
            }
            auto const* const call = std::get_if<call_store>(&each);
            bool const is_watch =
                call != nullptr &&
                std::holds_alternative<store_watch>(call->request);
            store_calls += is_watch && now >= start ? 1 : 0;
        }
        node.out.clear();
    };
    auto const advance = [&](std::size_t index, instant now)
    {
        routes_fixture& node = nodes[index];
        node.now = now;
        constexpr std::size_t gossip_peers = 3;
        std::vector<std::string> peers;
        peers.reserve(gossip_peers);
        for (std::size_t count = 0; count < gossip_peers; ++count)
        {
            peers.push_back(address_of(draw_below(random, fleet_size)));
        }
        auto current = node.begin();
        routes::handle_time(node.routes, peers, fleet_size, current);
        settle(index, now);
    };

    std::vector<std::pair<std::size_t, store_call_id>> watches;
    for (std::size_t index = 0; index < fleet_size; ++index)
    {
        by_address[address_of(index)] = index;
        nodes[index].routes.self.address = address_of(index);
    }
    for (std::size_t index = 0; index < fleet_size; ++index)
    {
        routes_fixture& node = nodes[index];
        auto const read = node.call()->call;
        auto current = node.begin();
        routes::handle_store(
            node.routes,
            read,
            store_entry{std::string(routes::table_key),
                        codec::encode_route_table(make_table(old_version)),
                        10,
                        10},
            current);
        node.out.clear();
        std::vector<std::string> const none;
        auto next = node.begin();
        routes::handle_time(node.routes, none, fleet_size, next);
        if (node.call() != nullptr)
        {
            watches.emplace_back(index, node.call()->call);
        }
        node.out.clear();
    }
    CHECK(watches.size() >= 4);
    CHECK(watches.size() <= 40);

    for (auto const& [index, call] : watches)
    {
        auto current = nodes[index].begin();
        routes::handle_store(
            nodes[index].routes,
            call,
            store_entry{std::string(routes::table_key),
                        codec::encode_route_table(make_table(new_version)),
                        11,
                        11},
            current);
        advance(index, start);
    }
    std::size_t informed_soon = 0;
    auto const informed = [&]
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            nodes,
            [](routes_fixture const& node)
            { return node.routes.in_force.version == new_version; }));
    };
    for (instant now = start; now <= start + apply_bound; now += 1ms)
    {
        while (!in_flight.empty() && in_flight.front().when <= now)
        {
            delivery const next = in_flight.front();
            in_flight.pop_front();
            nodes[next.to].now = now;
            auto current = nodes[next.to].begin();
            routes::handle_message(nodes[next.to].routes,
                                   {address_of(next.from), 1},
                                   next.content,
                                   current);
            settle(next.to, now);
            advance(next.to, now);
        }
        bool const is_heartbeat_due = (now - start) % heartbeat_interval == 0ms;
        for (std::size_t index = 0; is_heartbeat_due && index < fleet_size;
             ++index)
        {
            for (std::size_t sent = 0; sent < heartbeat_fanout; ++sent)
            {
                auto const to = draw_below(random, fleet_size);
                nodes[to].now = now;
                auto current = nodes[to].begin();
                routes::note_peer_version(nodes[to].routes,
                                          address_of(index),
                                          nodes[index].routes.in_force.version,
                                          current);
                settle(to, now);
            }
        }
        informed_soon = now == start + 100ms ? informed() : informed_soon;
    }
    CHECK(informed_soon >= fleet_size * 9 / 10);
    CHECK(informed() == fleet_size);
    CHECK(store_calls <= watches.size() * 2);
}

// Guards against a node that never gets a table because each answer of the
// store comes after the timeout.
TEST_CASE("a node without a table hears a slow store")
{
    constexpr duration latency = 2500ms;
    routes_fixture node;
    instant const begun = node.now;
    while (!node.routes.is_ready)
    {
        REQUIRE(node.now - begun < 15s);
        if (node.call() == nullptr)
        {
            node.advance(50ms);
            continue;
        }
        auto const timeout = node.call()->timeout;
        node.now += std::min(timeout, latency);
        latency < timeout ? node.reply_table(3, 10)
                          : node.reply(store_unavailable{true});
    }
    CHECK(node.has_begun_watch());
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
