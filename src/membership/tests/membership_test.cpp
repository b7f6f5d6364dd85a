#include "membership/internal/view.hpp"
#include "membership/membership.hpp"
#include "test_fleet/fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace plantaintally;
using namespace std::chrono_literals;
using membership::member_status;
using test_fleet::fleet;

namespace
{

// Documented target time for the spread of a departure or a drain to all nodes.
constexpr duration drain_target = 3s;
// Documented target time for all nodes to record a crashed node as gone.
constexpr duration crash_target = 8s;
// Documented target time for all nodes to list a live member that was believed
// gone, once they can reach it.
constexpr duration return_target = 2s;

std::string address_of(int index)
{
    return "10.0.0." + std::to_string(index) + ":7000";
}

std::string zone_of(int index)
{
    return std::string("zone-") + static_cast<char>('a' + index % 3);
}

// Starts nodes 1 to `count`, four per service, all with node 1 as contact.
void start_nodes(fleet& all, int count)
{
    for (int index = 1; index <= count; ++index)
    {
        all.start_node(address_of(index),
                       zone_of(index),
                       "service-" + std::to_string((index - 1) / 4),
                       {address_of(1)});
    }
}

bool is_complete(fleet& all, std::size_t count)
{
    for (std::string const& address : all.live_addresses())
    {
        if (membership::member_count(all.at(address).membership) != count)
        {
            return false;
        }
    }
    return true;
}

// Starts the nodes, lets them find each other and settle, and takes the store
// away.
void start_and_lose_store(fleet& all, int count)
{
    start_nodes(all, count);
    auto const members = static_cast<std::size_t>(count);
    REQUIRE(all.run_until([&] { return is_complete(all, members); }, 20s));
    all.run_for(5s);
    all.store.is_down = true;
}

bool is_seen_by_all(fleet& all,
                    std::string const& subject,
                    member_status expected_status)
{
    for (std::string const& address : all.live_addresses())
    {
        if (address != subject &&
            all.status(address, subject) != expected_status)
        {
            return false;
        }
    }
    return true;
}

bool is_anyone_seen_as(fleet& all, member_status expected_status)
{
    for (std::string const& viewer : all.live_addresses())
    {
        for (auto const& member :
             membership::all_members(all.at(viewer).membership))
        {
            if (member.status == expected_status)
            {
                return true;
            }
        }
    }
    return false;
}

// Silences the links between a node and all others, in the given directions.
void silence(fleet& all,
             std::string const& node,
             bool is_outgoing,
             bool is_incoming)
{
    for (std::string const& other : all.live_addresses())
    {
        if (is_outgoing)
        {
            all.net.silent_links.insert({node, other});
        }
        if (is_incoming)
        {
            all.net.silent_links.insert({other, node});
        }
    }
}

bool has_refuted(fleet& all, std::string const& address)
{
    auto const& entries = all.at(address).entries;
    return std::any_of(entries.begin(),
                       entries.end(),
                       [](timeline_entry const& entry)
                       { return entry.kind == "refuted"; });
}

} // namespace

TEST_CASE("nodes that start with one contact discover all members")
{
    fleet all(1);
    start_nodes(all, 12);
    CHECK(all.run_until([&] { return is_complete(all, 12); }, 10s));
    auto const& view = all.at(address_of(5)).membership;
    CHECK(membership::members_of(view, "service-0").size() == 4);
}

TEST_CASE("nodes without contacts find each other through the store")
{
    fleet all(2);
    for (int index = 1; index <= 9; ++index)
    {
        all.start_node(address_of(index), zone_of(index), "rota-board");
    }
    CHECK(all.run_until([&] { return is_complete(all, 9); }, 30s));
}

TEST_CASE("a node joins although the store has lost the contact lists")
{
    fleet all(3);
    auto const older = all.store;
    for (int index = 1; index <= 6; ++index)
    {
        all.start_node(address_of(index), zone_of(index), "rota-board");
    }
    REQUIRE(all.run_until([&] { return is_complete(all, 6); }, 30s));
    all.run_for(60s);
    all.store.restore(older);
    all.run_for(5s);
    all.start_node(address_of(7), zone_of(7), "maps");
    CHECK(all.run_until([&] { return is_complete(all, 7); }, 10s));
}

TEST_CASE("nodes that start during an outage of the store join after it")
{
    fleet all(3);
    all.store.is_down = true;
    start_nodes(all, 6);
    all.run_for(30s);
    all.start_node(address_of(7), zone_of(7), "maps");
    all.run_for(60s);
    CHECK(membership::member_count(all.at(address_of(7)).membership) == 1);
    all.store.is_down = false;
    CHECK(all.run_until([&] { return is_complete(all, 7); }, 240s));
}

TEST_CASE("a node that leaves is gone everywhere within the target")
{
    fleet all(4);
    start_nodes(all, 12);
    REQUIRE(all.run_until([&] { return is_complete(all, 12); }, 10s));
    all.run_step(address_of(6),
                 [](auto& node, step& current)
                 { membership::announce_leaving(node.membership, current); });
    all.crash(address_of(6));
    CHECK(all.run_until([&] { return is_complete(all, 11); }, drain_target));
}

TEST_CASE("a drain and its end are known everywhere within the target")
{
    fleet all(5);
    start_nodes(all, 24);
    REQUIRE(all.run_until([&] { return is_complete(all, 24); }, 20s));
    std::string const drained = address_of(9);
    all.run_step(drained,
                 [](auto& node, step& current)
                 { membership::announce_draining(node.membership, current); });
    CHECK(all.run_until(
        [&] { return is_seen_by_all(all, drained, member_status::draining); },
        drain_target));
    all.run_step(drained,
                 [](auto& node, step& current)
                 { membership::announce_undrained(node.membership, current); });
    CHECK(all.run_until(
        [&] { return is_seen_by_all(all, drained, member_status::alive); },
        drain_target));
}

TEST_CASE("a crashed node is suspected, then gone everywhere")
{
    fleet all(6);
    start_nodes(all, 12);
    REQUIRE(all.run_until([&] { return is_complete(all, 12); }, 10s));
    all.crash(address_of(7));
    CHECK(all.run_until(
        [&]
        {
            return all.status(address_of(8), address_of(7)) ==
                   member_status::suspected;
        },
        crash_target));
    CHECK(all.run_until([&] { return is_complete(all, 11); }, crash_target));
}

TEST_CASE("nodes of other services detect the crash of a service's only member")
{
    fleet all(7);
    start_nodes(all, 8);
    all.start_node(address_of(20), "zone-a", "lonely", {address_of(1)});
    REQUIRE(all.run_until([&] { return is_complete(all, 9); }, 10s));
    all.run_for(2s);
    all.crash(address_of(20));
    CHECK(all.run_until([&] { return is_complete(all, 8); }, crash_target));
}

TEST_CASE("a live node refutes its removal and is alive everywhere again")
{
    fleet all(8);
    start_nodes(all, 8);
    REQUIRE(all.run_until([&] { return is_complete(all, 8); }, 10s));
    std::string const suspect = address_of(3);
    all.run_step(
        address_of(8),
        [&](auto& node, step& current)
        {
            auto claim = *membership::find_member(node.membership, suspect);
            claim.status = member_status::gone;
            claim.status_version += 1;
            membership::handle_message(node.membership,
                                       node_id{address_of(7), 1},
                                       membership::gossip{{claim}, false},
                                       current);
        });
    CHECK(all.status(address_of(8), suspect) == member_status::gone);
    all.run_for(5s);
    CHECK(is_seen_by_all(all, suspect, member_status::alive));
}

TEST_CASE("a restarted node replaces its former incarnation")
{
    fleet all(9);
    start_nodes(all, 8);
    REQUIRE(all.run_until([&] { return is_complete(all, 8); }, 10s));
    all.crash(address_of(4));
    all.start_node(address_of(4), zone_of(4), "bookings", {address_of(1)});
    auto const is_replaced = [&]
    {
        for (std::string const& viewer : all.live_addresses())
        {
            auto const* held = membership::find_member(
                all.at(viewer).membership, address_of(4));
            if (held == nullptr || held->node.incarnation != 2 ||
                held->service != "bookings")
            {
                return false;
            }
        }
        return is_complete(all, 8);
    };
    CHECK(all.run_until(is_replaced, crash_target));
    all.run_for(20s);
    CHECK(is_replaced());
}

// Guards against a node that starts again during an outage of the store and
// knows no member, though all members send it heartbeats.
TEST_CASE("a node restarted without the store knows all members at once")
{
    auto const seed = GENERATE(range(61U, 71U));
    fleet all(seed);
    start_and_lose_store(all, 12);
    std::string const restarted = address_of(6);
    all.crash(restarted);
    all.run_for(400ms);
    bool const is_upstream_back = GENERATE(true, false);
    all.start_node(restarted, zone_of(6), is_upstream_back ? "service-1" : "");
    auto const known = [&]
    {
        return membership::member_count(all.at(restarted).membership);
    };
    CHECK(all.run_until([&] { return known() >= 11; }, return_target));
}

TEST_CASE("outdated gossip does not revive a gone member")
{
    fleet all(10);
    start_nodes(all, 8);
    REQUIRE(all.run_until([&] { return is_complete(all, 8); }, 10s));
    auto const old_news = *membership::find_member(
        all.at(address_of(1)).membership, address_of(5));
    all.crash(address_of(5));
    REQUIRE(all.run_until([&] { return is_complete(all, 7); }, 10s));
    all.run_step(address_of(2),
                 [&](auto& node, step& current)
                 {
                     membership::handle_message(
                         node.membership,
                         node_id{address_of(3), 1},
                         membership::gossip{{old_news}, false},
                         current);
                 });
    CHECK(all.status(address_of(2), address_of(5)) == member_status::gone);
    all.run_for(30s);
    CHECK(is_complete(all, 7));
}

TEST_CASE("both sides of a network partition rejoin when it heals")
{
    fleet all(11);
    start_nodes(all, 12);
    REQUIRE(all.run_until([&] { return is_complete(all, 12); }, 10s));
    for (int index = 1; index <= 12; index += 3)
    {
        all.net.groups[address_of(index)] = 1;
    }
    CHECK(all.run_until(
        [&]
        {
            return membership::member_count(all.at(address_of(1)).membership) ==
                       4 &&
                   membership::member_count(all.at(address_of(2)).membership) ==
                       8;
        },
        20s));
    all.run_for(300s);
    all.net.groups.clear();
    CHECK(all.run_until([&] { return is_complete(all, 12); }, 60s));
    all.run_for(5s);
    CHECK(!is_anyone_seen_as(all, member_status::suspected));
}

TEST_CASE("a paused node suspects no member when it resumes")
{
    fleet all(12);
    start_nodes(all, 12);
    REQUIRE(all.run_until([&] { return is_complete(all, 12); }, 10s));
    std::string const paused = address_of(2);
    all.pause(paused, 60s);
    all.run_for(60s);
    CHECK(all.status(address_of(1), paused) == member_status::gone);
    all.at(paused).entries.clear();
    all.run_for(20s);
    CHECK(is_complete(all, 12));
    for (timeline_entry const& entry : all.at(paused).entries)
    {
        CHECK(entry.kind != "member-suspected");
        CHECK(entry.kind != "member-gone");
    }
}

TEST_CASE("an isolated node suspects no member")
{
    fleet all(13);
    start_nodes(all, 8);
    REQUIRE(all.run_until([&] { return is_complete(all, 8); }, 10s));
    all.net.groups[address_of(3)] = 1;
    all.run_for(60s);
    CHECK(membership::member_count(all.at(address_of(3)).membership) == 8);
    CHECK(membership::member_count(all.at(address_of(1)).membership) == 7);
}

TEST_CASE("message loss alone makes no member gone")
{
    fleet all(14);
    all.net.loss = 0.1;
    start_nodes(all, 16);
    REQUIRE(all.run_until([&] { return is_complete(all, 16); }, 60s));
    all.run_for(300s);
    CHECK(is_complete(all, 16));
}

TEST_CASE("an unknown service is looked up, and absent if no peer knows it")
{
    fleet all(15);
    start_nodes(all, 8);
    REQUIRE(all.run_until([&] { return is_complete(all, 8); }, 10s));
    // A node that has just started and knows only its contact.
    all.start_node("10.0.1.1:7000", "zone-a", "", {address_of(1)});
    auto const ask = [&](std::string const& service)
    {
        auto known = membership::lookup_status::absent;
        all.run_step("10.0.1.1:7000",
                     [&](auto& node, step& current) {
                         known = membership::look_up_service(
                             node.membership, service, current);
                     });
        return known;
    };
    CHECK(ask("service-1") == membership::lookup_status::pending);
    CHECK(ask("nowhere") == membership::lookup_status::pending);
    all.run_for(100ms);
    CHECK(ask("service-1") == membership::lookup_status::known);
    CHECK(ask("nowhere") == membership::lookup_status::absent);
}

TEST_CASE("a joining node fetches records from other nodes besides its contact")
{
    fleet all(19);
    for (int index = 1; index <= 80; ++index)
    {
        all.start_node(address_of(index),
                       zone_of(index),
                       "service-" + std::to_string(index / 2),
                       {address_of(1)});
    }
    REQUIRE(all.run_until([&] { return is_complete(all, 80); }, 60s));
    std::string const joining = "10.0.1.1:7000";
    std::set<std::string> asked;
    all.on_send = [&](std::string const& from, send_control const& sent)
    {
        auto const* digest = std::get_if<membership::view_digest>(
            std::get_if<membership::message>(&sent.message));
        if (digest != nullptr && from == joining &&
            digest->bucket_hashes.empty())
        {
            asked.insert(sent.address);
        }
    };
    all.start_node(joining, "zone-a", "", {address_of(1)});
    CHECK(all.run_until(
        [&]
        { return membership::member_count(all.at(joining).membership) == 80; },
        30s));
    CHECK(asked.size() > 1);
}

TEST_CASE("lookups of nonexistent services are bounded")
{
    fleet all(18);
    start_nodes(all, 4);
    REQUIRE(all.run_until([&] { return is_complete(all, 4); }, 10s));
    std::size_t messages = 0;
    all.on_send = [&](std::string const&, send_control const& sent)
    {
        auto const* digest = std::get_if<membership::view_digest>(
            std::get_if<membership::message>(&sent.message));
        messages += digest != nullptr && !digest->services.empty() &&
                            digest->services.front().starts_with("made-up")
                        ? 1
                        : 0;
    };
    all.run_step(address_of(1),
                 [](auto& node, step& current)
                 {
                     for (int index = 0; index < 10'000; ++index)
                     {
                         membership::look_up_service(node.membership,
                                                     "made-up-" +
                                                         std::to_string(index),
                                                     current);
                     }
                 });
    CHECK(messages > 0);
    CHECK(messages <= 1'000);
}

TEST_CASE("a hint in a response marks a member as draining, and is refuted")
{
    fleet all(16);
    start_nodes(all, 8);
    REQUIRE(all.run_until([&] { return is_complete(all, 8); }, 10s));
    all.run_step(address_of(1),
                 [](auto& node, step& current) {
                     membership::note_draining(
                         node.membership, address_of(6), current);
                 });
    CHECK(all.status(address_of(1), address_of(6)) == member_status::draining);
    all.run_for(5s);
    CHECK(is_seen_by_all(all, address_of(6), member_status::alive));
}

TEST_CASE("the contact list stays short and drops gone members")
{
    fleet all(17);
    for (int index = 1; index <= 20; ++index)
    {
        all.start_node(address_of(index), "zone-a", "slots", {address_of(1)});
    }
    all.run_for(1800s);
    std::string const listed =
        all.store.value_of("plantaintally/contacts/zone-a");
    CHECK(std::count(listed.begin(), listed.end(), '\n') == 16);
    std::string const first = listed.substr(0, listed.find('\n'));
    all.crash(first);
    all.run_for(1800s);
    std::string const later =
        all.store.value_of("plantaintally/contacts/zone-a");
    CHECK(later.find(first + "\n") == std::string::npos);
    CHECK(std::count(later.begin(), later.end(), '\n') == 16);
}

TEST_CASE("all members are back soon after many links were silent")
{
    auto const seed = GENERATE(21U, 22U, 23U, 24U, 25U);
    auto const span = GENERATE(duration(5s), duration(20s));
    fleet all(seed);
    start_and_lose_store(all, 24);
    std::mt19937 random(seed);
    for (std::string const& from : all.live_addresses())
    {
        for (std::string const& to : all.live_addresses())
        {
            if (from < to && random() % 10 < 7)
            {
                all.net.silent_links.insert({from, to});
                all.net.silent_links.insert({to, from});
            }
        }
    }
    all.run_for(span);
    all.net.silent_links.clear();
    CHECK(all.run_until(
        [&]
        {
            return is_complete(all, 24) &&
                   !is_anyone_seen_as(all, member_status::suspected);
        },
        return_target));
}

TEST_CASE("a member that never heard of its removal is back soon")
{
    auto const seed = GENERATE(31U, 32U, 33U);
    bool const is_incoming_silent = GENERATE(true, false);
    fleet all(seed);
    start_and_lose_store(all, 12);
    std::string const accused = address_of(6);
    silence(all, accused, true, is_incoming_silent);
    REQUIRE(all.run_until(
        [&] { return is_seen_by_all(all, accused, member_status::gone); },
        crash_target));
    all.run_for(3s);
    CHECK(has_refuted(all, accused) != is_incoming_silent);
    all.net.silent_links.clear();
    CHECK(all.run_until(
        [&]
        {
            return is_complete(all, 12) &&
                   !is_anyone_seen_as(all, member_status::suspected);
        },
        return_target));
}

TEST_CASE("a node whose other links are silent brings a member back itself")
{
    auto const seed = GENERATE(range(41U, 49U));
    fleet all(seed);
    start_and_lose_store(all, 12);
    std::string const accused = address_of(6);
    // Of another service, so that neither watches the other in its cell.
    std::string const viewer = address_of(12);
    silence(all, accused, true, true);
    REQUIRE(all.run_until(
        [&] { return is_seen_by_all(all, accused, member_status::gone); },
        crash_target));
    silence(all, viewer, true, true);
    all.net.silent_links.erase({viewer, accused});
    all.net.silent_links.erase({accused, viewer});
    CHECK(all.run_until(
        [&] { return all.status(viewer, accused) == member_status::alive; },
        return_target));
}

// Guards against a node that restarts at its address and stays alone, since the
// connections to its former process were not reset and take all messages.
TEST_CASE("a restarted node is back though links lead to its former process")
{
    auto const seed = GENERATE(range(51U, 56U));
    fleet all(seed);
    start_and_lose_store(all, 12);
    std::string const restarted = address_of(6);
    all.crash(restarted);
    for (std::string const& other : all.live_addresses())
    {
        all.net.stale_links.insert({other, restarted});
    }
    all.start_node(restarted, zone_of(6), "service-1");
    CHECK(all.run_until(
        [&]
        {
            return is_complete(all, 12) && all.net.stale_links.empty() &&
                   !is_anyone_seen_as(all, member_status::suspected);
        },
        crash_target + return_target));
}

TEST_CASE("a member that left is asked about by nobody")
{
    fleet all(51);
    start_nodes(all, 12);
    REQUIRE(all.run_until([&] { return is_complete(all, 12); }, 10s));
    std::string const left = address_of(6);
    all.run_step(left,
                 [](auto& node, step& current)
                 { membership::announce_draining(node.membership, current); });
    all.run_for(3s);
    all.run_step(left,
                 [](auto& node, step& current)
                 { membership::announce_leaving(node.membership, current); });
    all.crash(left);
    REQUIRE(all.run_until([&] { return is_complete(all, 11); }, drain_target));
    std::size_t records = 0;
    all.on_send = [&](std::string const&, send_control const& sent)
    {
        auto const* news = std::get_if<membership::gossip>(
            std::get_if<membership::message>(&sent.message));
        records += sent.address == left && news != nullptr ? 1 : 0;
    };
    all.run_for(60s);
    CHECK(records == 0);
}

TEST_CASE("the questions to a gone member don't grow with the fleet")
{
    constexpr int nodes = 160;
    constexpr double max_questions_per_second = 64 * 1.25;
    fleet all(61);
    start_nodes(all, nodes);
    REQUIRE(all.run_until([&] { return is_complete(all, nodes); }, 30s));
    std::string const crashed = address_of(6);
    all.crash(crashed);
    REQUIRE(all.run_until([&] { return is_complete(all, nodes - 1); },
                          crash_target));
    std::size_t questions = 0;
    all.on_send = [&](std::string const&, send_control const& sent)
    {
        auto const* message = std::get_if<membership::message>(&sent.message);
        bool const is_question =
            message != nullptr &&
            std::holds_alternative<membership::gossip>(*message);
        questions += sent.address == crashed && is_question ? 1 : 0;
    };
    all.run_for(20s);
    CHECK(questions > 0);
    CHECK(static_cast<double>(questions) / 20 <= max_questions_per_second);
}
