#include "routing/routing.hpp"

#include <catch2/catch.hpp>

using namespace plantaintally;
using namespace std::chrono_literals;

namespace
{

membership::member_record
member(std::string address, std::string zone, std::uint32_t slots = 10)
{
    membership::member_record record;
    record.node.address = std::move(address);
    record.availability_zone = std::move(zone);
    record.slots = slots;
    return record;
}

std::vector<membership::member_record> members_in_three_zones()
{
    return {member("a:1", "z1"), member("b:1", "z2"), member("c:1", "z3")};
}

routing::route_query from_zone(std::string_view zone, instant now)
{
    routing::route_query request;
    request.rank = "browsing";
    request.urgency = 10;
    request.availability_zone = zone;
    request.now = now;
    return request;
}

hop_report closed_report()
{
    hop_report report;
    report.admission_level = 11;
    return report;
}

} // namespace

TEST_CASE("the own zone is preferred until it is loaded")
{
    routing::state peers;
    random_source random(3);
    auto const members = members_in_three_zones();
    instant const now{1s};
    CHECK(
        routing::choose(peers, members, from_zone("z1", now), random).address ==
        "a:1");
    hop_report loaded;
    loaded.load_permille = 1500;
    routing::note_report(peers, "a:1", "browsing", loaded, random, now);
    CHECK(
        routing::choose(peers, members, from_zone("z1", now), random).address !=
        "a:1");
}

TEST_CASE("this node's requests in flight are counted once in a member's load")
{
    routing::state peers;
    random_source random(3);
    auto const members = members_in_three_zones();
    instant const now{1s};
    // Nine of ten slots in use, by requests of this node.
    for (int sent = 0; sent < 9; ++sent)
    {
        routing::note_sent(peers, "a:1");
    }
    hop_report loaded;
    loaded.load_permille = 900;
    routing::note_report(peers, "a:1", "browsing", loaded, random, now);
    CHECK(
        routing::choose(peers, members, from_zone("z1", now), random).address ==
        "a:1");
    routing::note_sent(peers, "a:1");
    CHECK(
        routing::choose(peers, members, from_zone("z1", now), random).address !=
        "a:1");
}

TEST_CASE("fully loaded zones don't send their requests to each other")
{
    routing::state peers;
    random_source random(3);
    auto const members = members_in_three_zones();
    instant const now{1s};
    for (auto const& peer : members)
    {
        hop_report full;
        full.load_permille = peer.node.address == "a:1" ? 1400 : 1000;
        routing::note_report(
            peers, peer.node.address, "browsing", full, random, now);
    }
    for (int index = 0; index < 50; ++index)
    {
        auto const chosen =
            routing::choose(peers, members, from_zone("z1", now), random);
        CHECK(chosen.address == "a:1");
    }
}

TEST_CASE("a node that reports that it is draining gets no more requests")
{
    routing::state peers;
    random_source random(3);
    auto const members = members_in_three_zones();
    hop_report draining;
    draining.is_draining = true;
    instant const now{1s};
    routing::note_report(peers, "a:1", "browsing", draining, random, now);
    for (int index = 0; index < 50; ++index)
    {
        auto const chosen =
            routing::choose(peers, members, from_zone("z1", now), random);
        CHECK(chosen.address != "a:1");
    }
}

TEST_CASE("failures eject at most one in three members")
{
    routing::state peers;
    random_source random(3);
    auto const members = members_in_three_zones();
    instant const now{1s};
    for (int index = 0; index < 20; ++index)
    {
        for (auto const& peer : members)
        {
            routing::note_failure(
                peers, peer.node.address, members, random, now);
        }
    }
    int ejected = 0;
    for (auto const& peer : members)
    {
        ejected += routing::is_ejected(peers, peer.node.address, now) ? 1 : 0;
    }
    CHECK(ejected == 1);
}

TEST_CASE("an ejected member returns after a single successful trial request")
{
    routing::state peers;
    random_source random(3);
    std::vector<membership::member_record> const members{member("a:1", "z1"),
                                                         member("b:1", "z2")};
    instant const now{1s};
    for (int index = 0; index < 5; ++index)
    {
        routing::note_failure(peers, "a:1", members, random, now);
    }
    REQUIRE(routing::is_ejected(peers, "a:1", now));
    instant const later = now + 10s;
    auto const trial =
        routing::choose(peers, members, from_zone("z1", later), random);
    CHECK(trial.address == "a:1");
    auto const second =
        routing::choose(peers, members, from_zone("z1", later), random);
    CHECK(second.address == "b:1");
    routing::note_report(peers, "a:1", "browsing", {}, random, later);
    auto const third =
        routing::choose(peers, members, from_zone("z1", later), random);
    CHECK(third.address == "a:1");
}

TEST_CASE("a rank that no member admits is shed except for probes")
{
    routing::state peers;
    random_source random(3);
    auto const members = members_in_three_zones();
    instant const now{1s};
    for (auto const& peer : members)
    {
        routing::note_report(
            peers, peer.node.address, "browsing", closed_report(), random, now);
    }
    auto request = from_zone("z1", now);
    CHECK(routing::choose(peers, members, request, random).kind ==
          routing::route_kind::shed);
    request.now = now + 200ms;
    auto const probe = routing::choose(peers, members, request, random);
    CHECK(probe.kind == routing::route_kind::found);
    CHECK(probe.is_probe);
    request.now = now + 2s;
    CHECK_FALSE(routing::choose(peers, members, request, random).is_probe);
}

TEST_CASE("the admission level of a service is the lowest of its members")
{
    routing::state peers;
    random_source random(3);
    auto const members = members_in_three_zones();
    instant const now{1s};
    routing::note_report(
        peers, "a:1", "browsing", closed_report(), random, now);
    CHECK(routing::lowest_admission_level(peers, members, "browsing", now) ==
          0);
    routing::note_report(
        peers, "b:1", "browsing", closed_report(), random, now);
    routing::note_report(
        peers, "c:1", "browsing", closed_report(), random, now);
    CHECK(routing::lowest_admission_level(peers, members, "browsing", now) ==
          11);
}
