// The contact lists in the platform's key-value store, through losses and
// replacements of many nodes.
#include "membership/internal/contacts.hpp"
#include "membership/membership.hpp"
#include "test_fleet/fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace plantaintally;
using namespace std::chrono_literals;
using test_fleet::fleet;

namespace
{

// The time within which a fleet has to serve again once its machines are back.
constexpr duration recovery_limit = 15s;

// A fleet whose nodes never return to an address that was used before.
struct changing_fleet
{
    explicit changing_fleet(std::uint64_t seed) : all(seed), random(seed) {}

    fleet all;
    std::mt19937_64 random;
    int zone_count = 3;
    int last_number = 0;

    std::string start()
    {
        int const number = ++this->last_number;
        std::string address = "10.0." + std::to_string(number / 250) + "." +
                              std::to_string(number % 250) + ":7000";
        this->all.start_node(address,
                             "zone-" +
                                 std::to_string(number % this->zone_count),
                             "service-" + std::to_string(number % 4));
        return address;
    }

    void start(std::size_t count)
    {
        for (std::size_t started = 0; started < count; ++started)
        {
            this->start();
        }
    }

    void lose(std::string const& address)
    {
        this->all.crash(address);
    }

    void lose_all()
    {
        for (std::string const& address : this->all.live_addresses())
        {
            this->lose(address);
        }
    }

    // True if the live nodes know each other and nobody else.
    bool is_complete()
    {
        auto const live = this->all.live_addresses();
        return std::ranges::all_of(
            live,
            [&](std::string const& address)
            {
                auto const& view = this->all.at(address).membership;
                return membership::member_count(view) == live.size() &&
                       std::ranges::all_of(live,
                                           [&](std::string const& other) {
                                               return membership::find_member(
                                                          view, other) !=
                                                      nullptr;
                                           });
            });
    }

    bool completes_within(duration limit)
    {
        instant const end = this->all.now() + limit;
        while (!this->is_complete())
        {
            if (this->all.now() >= end)
            {
                return false;
            }
            this->all.run_for(100ms);
        }
        return true;
    }

    std::vector<std::string> listed(int zone)
    {
        return membership::parse_lines(this->all.store.value_of(
            membership::contacts_key("zone-" + std::to_string(zone))));
    }

    // Fills the list of each zone with addresses at which no node runs.
    void fill_lists_with_lost_nodes()
    {
        std::string zones;
        for (int zone = 0; zone < this->zone_count; ++zone)
        {
            std::string addresses;
            for (std::size_t index = 0; index < membership::max_listed_contacts;
                 ++index)
            {
                addresses += "10.9." + std::to_string(zone) + "." +
                             std::to_string(index) + ":7000\n";
            }
            std::string const name = "zone-" + std::to_string(zone);
            this->write(membership::contacts_key(name), addresses);
            zones += name + "\n";
        }
        this->write(std::string(membership::zone_list_key), zones);
    }

    void write(std::string const& key, std::string const& value)
    {
        store_compare_and_set update;
        update.key = key;
        update.value = value;
        this->all.store.handle(update, this->all.now());
    }
};

} // namespace

// Guards against lists full of lost nodes, which kept every newcomer from being
// found by the others.
TEST_CASE("a fleet that was replaced as a whole forms again")
{
    auto const seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    auto const count =
        GENERATE(std::size_t{3}, std::size_t{13}, std::size_t{54});
    changing_fleet nodes(seed);
    nodes.start(count);
    REQUIRE(nodes.completes_within(recovery_limit));
    nodes.all.run_for(12s);
    for (int loss = 0; loss < 8; ++loss)
    {
        CAPTURE(seed, count, loss);
        nodes.lose_all();
        nodes.start(count);
        REQUIRE(nodes.completes_within(recovery_limit));
        nodes.all.run_for(12s);
    }
}

TEST_CASE("a fleet loses power twice in a row and forms again")
{
    auto const seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    changing_fleet nodes(seed);
    nodes.fill_lists_with_lost_nodes();
    nodes.start(54);
    nodes.all.run_for(std::chrono::milliseconds(500 * seed));
    nodes.lose_all();
    nodes.start(54);
    CHECK(nodes.completes_within(recovery_limit));
}

// Guards against newcomers that wait for a minute although the store is back.
TEST_CASE(
    "a replaced fleet that starts without the store forms once it is back")
{
    auto const seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    auto const count = GENERATE(std::size_t{6}, std::size_t{54});
    auto const outage = GENERATE(duration(8s), duration(100s));
    changing_fleet nodes(seed);
    nodes.fill_lists_with_lost_nodes();
    nodes.all.store.is_down = true;
    nodes.start(count);
    nodes.all.run_for(outage);
    nodes.all.store.is_down = false;
    CAPTURE(seed, count, outage.count());
    CHECK(nodes.completes_within(recovery_limit));
}

// Guards against nodes that never find each other because each answer of the
// store comes after the timeout.
TEST_CASE("a replaced fleet forms while the store is slow")
{
    constexpr std::size_t service_count = 4;
    auto const seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    auto const latency = GENERATE(duration(1s), duration(2200ms), duration(3s));
    changing_fleet nodes(seed);
    nodes.fill_lists_with_lost_nodes();
    nodes.all.store.delay = latency;
    nodes.start(54);
    auto const can_serve = [&]
    {
        return std::ranges::all_of(
            nodes.all.live_addresses(),
            [&](std::string const& address) {
                return nodes.all.at(address).membership.services.size() ==
                       service_count;
            });
    };
    CAPTURE(seed, latency.count());
    CHECK(nodes.all.run_until(can_serve, recovery_limit));
}

// Guards against a fleet that lives on while all nodes on its lists are
// replaced: later nodes have to find it.
TEST_CASE("a node joins a fleet whose nodes were all replaced one by one")
{
    auto const seed = GENERATE(1U, 2U, 3U);
    auto const count = GENERATE(std::size_t{6}, std::size_t{54});
    changing_fleet nodes(seed);
    nodes.start(count);
    nodes.all.run_for(20s);
    for (int round = 0; round < 4; ++round)
    {
        for (std::string const& address : nodes.all.live_addresses())
        {
            nodes.lose(address);
            nodes.start();
            nodes.all.run_for(2s);
        }
    }
    nodes.all.run_for(20s);
    CAPTURE(seed, count);
    REQUIRE(nodes.is_complete());
    nodes.start();
    CHECK(nodes.completes_within(recovery_limit));
}

TEST_CASE("a node finds the only contact that is left")
{
    auto const seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    changing_fleet nodes(seed);
    nodes.zone_count = 1;
    nodes.start(60);
    nodes.all.run_for(60s);
    auto const listed = nodes.listed(0);
    REQUIRE(listed.size() == membership::max_listed_contacts);
    auto const& survivor = listed[nodes.random() % listed.size()];
    for (std::string const& address : nodes.all.live_addresses())
    {
        if (address != survivor)
        {
            nodes.lose(address);
        }
    }
    auto const newcomer = nodes.start();
    CHECK(nodes.all.run_until(
        [&]
        {
            return membership::find_member(nodes.all.at(newcomer).membership,
                                           survivor) != nullptr &&
                   membership::find_member(nodes.all.at(survivor).membership,
                                           newcomer) != nullptr;
        },
        recovery_limit));
}

// A newcomer can't tell whether all others are gone or it is cut off itself.
TEST_CASE("a node that reaches nobody replaces one contact at most")
{
    changing_fleet nodes(7);
    nodes.zone_count = 1;
    nodes.start(20);
    nodes.all.run_for(60s);
    auto const before = nodes.listed(0);
    REQUIRE(before.size() == membership::max_listed_contacts);
    nodes.all.net.groups["10.0.0.21:7000"] = 1;
    auto const newcomer = nodes.start();
    REQUIRE(newcomer == "10.0.0.21:7000");
    nodes.all.run_for(120s);
    auto const after = nodes.listed(0);
    CHECK(std::ranges::count_if(before,
                                [&](std::string const& address) {
                                    return std::ranges::find(after, address) ==
                                           after.end();
                                }) <= 1);
    nodes.all.net.groups.clear();
    CHECK(nodes.completes_within(recovery_limit));
}

TEST_CASE("a fleet forms again after any series of losses and replacements")
{
    auto const seed = GENERATE(range(1U, 31U));
    changing_fleet nodes(seed);
    nodes.zone_count = static_cast<int>(1 + nodes.random() % 4);
    nodes.start(1 + nodes.random() % 60);
    nodes.all.run_for(20s);
    for (int change = 0; change < 12; ++change)
    {
        nodes.all.store.is_down = nodes.random() % 4 == 0;
        auto const share = nodes.random() % 5;
        for (std::string const& address : nodes.all.live_addresses())
        {
            bool const is_lost = nodes.random() % 4 < share;
            if (is_lost)
            {
                nodes.lose(address);
                if (nodes.random() % 8 != 0)
                {
                    nodes.start();
                }
            }
        }
        nodes.start(nodes.random() % 3);
        nodes.all.run_for(std::chrono::milliseconds(nodes.random() % 20'000));
    }
    nodes.all.store.is_down = false;
    CAPTURE(seed, nodes.zone_count, nodes.all.live_addresses().size());
    CHECK(nodes.completes_within(recovery_limit));
}

// The calls to the store are priced. One reading of the lists takes three reads
// and at most two writes.
TEST_CASE("joining takes few calls to the store")
{
    constexpr std::size_t node_count = 54;
    changing_fleet nodes(9);
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    nodes.all.on_store_call = [&](call_store const& called)
    {
        bool const is_write =
            std::holds_alternative<store_compare_and_set>(called.request);
        if (called.client == store_client::membership)
        {
            (is_write ? writes : reads) += 1;
        }
    };
    nodes.start(node_count);
    nodes.all.run_for(60s);
    REQUIRE(nodes.is_complete());
    SECTION("in a fleet that runs, one reading")
    {
        reads = 0;
        writes = 0;
        nodes.start();
        nodes.all.run_for(60s);
        CHECK(nodes.is_complete());
        CHECK(reads <= 3);
        CHECK(writes <= 2);
    }
    SECTION("after the loss of all nodes, four readings a node on average")
    {
        reads = 0;
        writes = 0;
        nodes.lose_all();
        nodes.start(node_count);
        nodes.all.run_for(60s);
        CHECK(nodes.is_complete());
        CHECK(reads <= node_count * 4 * 3);
        CHECK(writes <= node_count * 2);
    }
}
