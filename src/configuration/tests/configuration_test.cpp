#include "configuration/configuration.hpp"
#include "configuration/internal/change_rules.hpp"
#include "configuration/internal/in_force.hpp"
#include "test_fleet/fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <optional>
#include <string>

using namespace plantaintally;
using namespace plantaintally::configuration;
using namespace std::chrono_literals;
using test_fleet::fleet;

namespace
{

// A change must be in force on 13 nodes within this time.
constexpr duration in_force_target = 2s;
// Precision of the age of the revision in force: the age in a digest does not
// include the digest's transmission time.
constexpr duration age_precision = 100ms;

std::string address_of(int index)
{
    return "10.0.0." + std::to_string(index) + ":7000";
}

void start_single_node(fleet& cluster, int index)
{
    cluster.start_node(address_of(index),
                       std::string("zone-") +
                           static_cast<char>('a' + index % 3),
                       "service-" + std::to_string(index % 4),
                       {address_of(1), address_of(2)});
}

bool are_all_ready(fleet& cluster)
{
    for (std::string const& address : cluster.live_addresses())
    {
        if (!is_ready(cluster.at(address).configuration))
        {
            return false;
        }
    }
    return true;
}

void start_nodes(fleet& cluster, int count)
{
    for (int index = 1; index <= count; ++index)
    {
        start_single_node(cluster, index);
    }
    REQUIRE(cluster.run_until([&] { return are_all_ready(cluster); }, 10s));
    cluster.run_for(8s);
}

document const& document_at(fleet& cluster, int index)
{
    return current(cluster.at(address_of(index)).configuration);
}

bool is_in_force_everywhere(fleet& cluster, std::uint64_t revision)
{
    for (std::string const& address : cluster.live_addresses())
    {
        if (current(cluster.at(address).configuration).revision != revision)
        {
            return false;
        }
    }
    return true;
}

// The revision in the answer "ok" to the command, or zero without one.
std::uint64_t
accepted_revision(fleet& cluster, int index, std::uint64_t command)
{
    for (answer_operator const& answer : cluster.at(address_of(index)).answers)
    {
        if (answer.command.value == command && answer.status == "ok")
        {
            return std::stoull(answer.table.rows.at(0).at(1));
        }
    }
    return 0;
}

std::string answer_message(fleet& cluster, int index, std::uint64_t command)
{
    for (answer_operator const& answer : cluster.at(address_of(index)).answers)
    {
        if (answer.command.value == command)
        {
            return answer.message;
        }
    }
    return "";
}

change make_create_change(std::string const& rank)
{
    change requested;
    requested.change_id = "create-" + rank;
    requested.text = "create rank " + rank;
    create_rank body;
    body.rank.name = rank;
    requested.body = body;
    return requested;
}

change make_alter_change(std::string const& id,
                         std::string const& rank,
                         std::uint32_t urgency)
{
    change requested;
    requested.change_id = id;
    requested.text = "alter rank " + rank;
    alter_rank body;
    body.name = rank;
    body.urgency = urgency;
    requested.body = body;
    return requested;
}

// Submits a change, waits until it is answered and returns the status.
std::string submit_and_wait(fleet& cluster,
                            int index,
                            std::uint64_t command,
                            change const& requested)
{
    cluster.submit(address_of(index), command, requested);
    cluster.run_until(
        [&]
        { return !cluster.command_status(address_of(index), command).empty(); },
        20s);
    return cluster.command_status(address_of(index), command);
}

int count_relays(fleet& cluster)
{
    int count = 0;
    for (std::string const& address : cluster.live_addresses())
    {
        count +=
            cluster.at(address).configuration.own_relay.is_slot_held ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("an accepted change is in force on 13 nodes within the target")
{
    fleet cluster(1);
    start_nodes(cluster, 13);
    CHECK(submit_and_wait(cluster, 4, 1, make_create_change("booking")) ==
          "ok");
    std::uint64_t const revision = accepted_revision(cluster, 4, 1);
    CHECK(answer_message(cluster, 4, 1) ==
          "accepted as revision " + std::to_string(revision));
    CHECK(cluster.run_until(
        [&] { return is_in_force_everywhere(cluster, revision); },
        in_force_target));
    CHECK(find_rank(document_at(cluster, 9), "booking") != nullptr);
}

TEST_CASE("a change reaches all nodes when 10% of messages are lost")
{
    fleet cluster(2);
    cluster.net.loss = 0.1;
    start_nodes(cluster, 13);
    REQUIRE(submit_and_wait(cluster, 4, 1, make_create_change("booking")) ==
            "ok");
    std::uint64_t const revision = accepted_revision(cluster, 4, 1);
    CHECK(cluster.run_until(
        [&] { return is_in_force_everywhere(cluster, revision); },
        in_force_target));
}

TEST_CASE("a change that is submitted twice is applied once")
{
    fleet cluster(3);
    start_nodes(cluster, 6);
    REQUIRE(submit_and_wait(cluster, 1, 1, make_create_change("booking")) ==
            "ok");
    CHECK(submit_and_wait(cluster, 5, 2, make_create_change("booking")) ==
          "ok");
    CHECK(accepted_revision(cluster, 5, 2) == accepted_revision(cluster, 1, 1));
    CHECK(document_at(cluster, 5).ranks.size() == 2);
}

TEST_CASE("a read settles a write whose answer was lost")
{
    fleet cluster(4);
    start_nodes(cluster, 6);
    cluster.store.answers_to_lose = 1;
    CHECK(submit_and_wait(cluster, 2, 1, make_create_change("booking")) ==
          "ok");
    cluster.run_for(in_force_target);
    CHECK(document_at(cluster, 6).ranks.size() == 2);
    CHECK(document_at(cluster, 6).changes.size() == 1);
}

TEST_CASE("a write with unknown outcome is settled by submitting it again")
{
    fleet cluster(5);
    start_nodes(cluster, 6);
    cluster.store.answers_to_lose = 1;
    cluster.submit(address_of(2), 1, make_create_change("booking"));
    cluster.store.is_down = true;
    cluster.run_for(20s);
    CHECK(cluster.command_status(address_of(2), 1) == "unknown");
    cluster.store.is_down = false;
    CHECK(submit_and_wait(cluster, 3, 2, make_create_change("booking")) ==
          "ok");
    CHECK(document_at(cluster, 3).ranks.size() == 2);
}

TEST_CASE("while the store is down changes are refused and the age grows")
{
    fleet cluster(6);
    start_nodes(cluster, 6);
    REQUIRE(submit_and_wait(cluster, 1, 1, make_create_change("booking")) ==
            "ok");
    cluster.run_for(5s);
    cluster.store.is_down = true;
    instant const down_at = cluster.now();
    cluster.run_for(60s);
    CHECK(submit_and_wait(cluster, 2, 2, make_create_change("maps")) ==
          "refused");
    CHECK(answer_message(cluster, 2, 2) ==
          "not applied: the platform's key-value store is unavailable");
    CHECK(document_at(cluster, 2).ranks.size() == 2);
    std::optional<duration> const age =
        confirmed_age(cluster.at(address_of(2)).configuration, cluster.now());
    REQUIRE(age.has_value());
    CHECK(*age >= cluster.now() - down_at - age_precision);
    CHECK(*age <= cluster.now() - down_at + 5s);
}

TEST_CASE("concurrent changes of different objects are both accepted")
{
    fleet cluster(7);
    start_nodes(cluster, 6);
    cluster.submit(address_of(1), 1, make_create_change("booking"));
    cluster.submit(address_of(2), 2, make_create_change("maps"));
    cluster.run_for(5s);
    CHECK(cluster.command_status(address_of(1), 1) == "ok");
    CHECK(cluster.command_status(address_of(2), 2) == "ok");
    CHECK(document_at(cluster, 6).ranks.size() == 3);
}

TEST_CASE("one of two concurrent changes of the same object is a conflict")
{
    fleet cluster(8);
    start_nodes(cluster, 6);
    REQUIRE(submit_and_wait(cluster, 1, 1, make_create_change("booking")) ==
            "ok");
    cluster.run_for(in_force_target);
    cluster.submit(address_of(2), 2, make_alter_change("a", "booking", 5));
    cluster.submit(address_of(3), 3, make_alter_change("b", "booking", 7));
    cluster.run_for(5s);
    CHECK(cluster.command_status(address_of(2), 2) == "ok");
    CHECK(cluster.command_status(address_of(3), 3) == "conflict");
    std::string const first = std::to_string(accepted_revision(cluster, 2, 2));
    std::string const base = std::to_string(accepted_revision(cluster, 1, 1));
    CHECK(answer_message(cluster, 3, 3) ==
          "not applied: rank:booking was changed by revision " + first +
              ", \"alter rank booking\", after revision " + base);
    CHECK(find_rank(document_at(cluster, 5), "booking")->urgency == 5);
}

TEST_CASE(
    "an expected revision conflicts only with later changes of the object")
{
    fleet cluster(9);
    start_nodes(cluster, 6);
    REQUIRE(submit_and_wait(cluster, 1, 1, make_create_change("booking")) ==
            "ok");
    std::uint64_t const seen_revision = accepted_revision(cluster, 1, 1);
    REQUIRE(submit_and_wait(
                cluster, 1, 2, make_alter_change("a", "booking", 5)) == "ok");
    change stale = make_alter_change("b", "booking", 7);
    stale.expected_revision = seen_revision;
    CHECK(submit_and_wait(cluster, 1, 3, stale) == "conflict");
    change other = make_create_change("maps");
    other.expected_revision = seen_revision;
    CHECK(submit_and_wait(cluster, 1, 4, other) == "ok");
    change ahead = make_create_change("more");
    ahead.expected_revision = 1'000'000;
    CHECK(submit_and_wait(cluster, 1, 5, ahead) == "refused");
}

TEST_CASE(
    "a change that depends on one unknown to the node is applied after a read")
{
    fleet cluster(10);
    start_nodes(cluster, 6);
    cluster.net.groups[address_of(5)] = 1;
    REQUIRE(submit_and_wait(cluster, 1, 1, make_create_change("booking")) ==
            "ok");
    REQUIRE(document_at(cluster, 5).ranks.size() == 1);
    CHECK(submit_and_wait(
              cluster, 5, 2, make_alter_change("a", "booking", 5)) == "ok");
    CHECK(submit_and_wait(
              cluster, 5, 3, make_alter_change("b", "unheard-of", 5)) ==
          "refused");
}

TEST_CASE("relays distribute a change whose node crashes after the write")
{
    fleet cluster(11);
    start_nodes(cluster, 13);
    REQUIRE(count_relays(cluster) > 0);
    cluster.store.answers_to_lose = 1;
    cluster.submit(address_of(3), 1, make_create_change("booking"));
    cluster.crash(address_of(3));
    CHECK(cluster.run_until(
        [&] { return document_at(cluster, 8).ranks.size() == 2; },
        in_force_target));
    std::uint64_t const revision = document_at(cluster, 8).revision;
    CHECK(cluster.run_until(
        [&] { return is_in_force_everywhere(cluster, revision); },
        in_force_target));
}

TEST_CASE("a relay that is paused until its lease expires gives up its slot")
{
    fleet cluster(12);
    start_nodes(cluster, 13);
    std::string paused;
    for (std::string const& address : cluster.live_addresses())
    {
        if (cluster.at(address).configuration.own_relay.is_slot_held)
        {
            paused = address;
        }
    }
    REQUIRE(!paused.empty());
    cluster.pause(paused, 60s);
    cluster.run_for(30s);
    int const submitter = paused == address_of(1) ? 2 : 1;
    REQUIRE(submit_and_wait(
                cluster, submitter, 1, make_create_change("booking")) == "ok");
    std::uint64_t const revision = accepted_revision(cluster, submitter, 1);
    cluster.run_for(40s);
    CHECK(current(cluster.at(paused).configuration).revision == revision);
    CHECK(is_in_force_everywhere(cluster, revision));
    CHECK(!cluster.at(paused).configuration.own_relay.is_slot_held);
}

TEST_CASE("a new node takes the peers' revision while the store is down")
{
    fleet cluster(13);
    start_nodes(cluster, 6);
    REQUIRE(submit_and_wait(cluster, 1, 1, make_create_change("booking")) ==
            "ok");
    std::uint64_t const revision = accepted_revision(cluster, 1, 1);
    cluster.run_for(5s);
    cluster.store.is_down = true;
    start_single_node(cluster, 7);
    CHECK(!is_ready(cluster.at(address_of(7)).configuration));
    CHECK(cluster.run_until(
        [&] { return is_ready(cluster.at(address_of(7)).configuration); },
        10s));
    CHECK(document_at(cluster, 7).revision == revision);
}

TEST_CASE("a new node that reaches neither store nor peers is not ready")
{
    fleet cluster(14);
    cluster.store.is_down = true;
    start_single_node(cluster, 7);
    cluster.run_for(120s);
    CHECK(!is_ready(cluster.at(address_of(7)).configuration));
    CHECK(submit_and_wait(cluster, 7, 1, make_create_change("booking")) ==
          "refused");
}

TEST_CASE("a slow store delays changes but loses none")
{
    fleet cluster(15);
    start_nodes(cluster, 6);
    cluster.store.delay = 900ms;
    CHECK(submit_and_wait(cluster, 1, 1, make_create_change("booking")) ==
          "ok");
    // Every call times out before its answer arrives.
    cluster.store.delay = 3s;
    CHECK(submit_and_wait(cluster, 2, 2, make_create_change("maps")) ==
          "unknown");
    cluster.store.delay = 2ms;
    CHECK(submit_and_wait(cluster, 3, 3, make_create_change("maps")) == "ok");
    CHECK(document_at(cluster, 3).ranks.size() == 3);
}

TEST_CASE("both sides of a healed partition converge on the highest revision")
{
    fleet cluster(16);
    start_nodes(cluster, 12);
    for (int index = 1; index <= 6; ++index)
    {
        cluster.net.groups[address_of(index)] = 1;
    }
    REQUIRE(submit_and_wait(cluster, 1, 1, make_create_change("booking")) ==
            "ok");
    REQUIRE(submit_and_wait(cluster, 12, 2, make_create_change("maps")) ==
            "ok");
    cluster.run_for(30s);
    cluster.net.groups.clear();
    std::uint64_t const newest = accepted_revision(cluster, 12, 2);
    CHECK(cluster.run_until(
        [&] { return is_in_force_everywhere(cluster, newest); }, 30s));
    CHECK(document_at(cluster, 3).ranks.size() == 3);
}

TEST_CASE("the revision in force never decreases")
{
    CHECK(rc::check(
        "any order of documents and changes",
        []
        {
            configuration::state configuration;
            configuration.in_force = default_document();
            random_source random(1);
            id_source ids;
            timeline::hybrid_clock clock;
            effects out;
            step current{moment{}, random, ids, clock, out};
            std::uint64_t highest = 0;
            auto const count = *rc::gen::inRange(1, 40);
            for (int index = 0; index < count; ++index)
            {
                auto const revision = *rc::gen::inRange<std::uint64_t>(0, 20);
                auto const base = *rc::gen::inRange<std::uint64_t>(0, 20);
                document content = default_document();
                content.revision = revision;
                accepted_change accepted;
                accepted.base_revision = base;
                accepted.revision = revision;
                accepted.requested =
                    make_create_change("rank-" + std::to_string(index));
                result<document> successor =
                    make_successor(configuration.in_force, accepted.requested);
                RC_ASSERT(successor.has_value());
                set_revision(successor.value(), revision);
                accepted.content_hash = hash_document(successor.value());
                message const received =
                    *rc::gen::arbitrary<bool>()
                        ? message(document_update{content})
                        : message(change_batch{{accepted}});
                handle_message(configuration,
                               node_id{"10.0.0.9:7000", 1},
                               received,
                               {},
                               current);
                std::uint64_t const now = configuration.in_force.revision;
                RC_ASSERT(now >= highest);
                highest = now;
            }
        }));
}

TEST_CASE(
    "a change accepted after the store has lost the latest revision comes "
    "into force")
{
    fleet cluster(31);
    start_nodes(cluster, 4);
    cluster.submit(address_of(1), 1, make_create_change("first"));
    cluster.run_for(5s);
    auto const older = cluster.store;
    for (std::uint64_t command = 2; command < 5; ++command)
    {
        cluster.submit(address_of(1),
                       command,
                       make_create_change("rank-" + std::to_string(command)));
        cluster.run_for(5s);
    }
    REQUIRE(accepted_revision(cluster, 1, 4) > 0);
    cluster.store.restore(older);
    cluster.run_for(20s);
    cluster.submit(address_of(2), 5, make_create_change("last"));
    cluster.run_for(20s);
    auto const accepted = accepted_revision(cluster, 2, 5);
    INFO(answer_message(cluster, 2, 5));
    REQUIRE(accepted > 0);
    CHECK(is_in_force_everywhere(cluster, accepted));
}
