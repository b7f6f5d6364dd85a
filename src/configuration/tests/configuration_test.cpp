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

// Stated target: a change is in force on 13 nodes within this time.
constexpr duration in_force_target = 2s;
// Stated precision of the age of the revision in force: the time that digests
// spend on the way.
constexpr duration age_precision = 100ms;

std::string address_of(int index)
{
    return "10.0.0." + std::to_string(index) + ":7000";
}

void start_one(fleet& all, int index)
{
    all.start_node(address_of(index),
                   std::string("zone-") + static_cast<char>('a' + index % 3),
                   "service-" + std::to_string(index % 4),
                   {address_of(1), address_of(2)});
}

bool are_all_ready(fleet& all)
{
    for (std::string const& address : all.live_addresses())
    {
        if (!is_ready(all.at(address).configuration))
        {
            return false;
        }
    }
    return true;
}

void start_nodes(fleet& all, int count)
{
    for (int index = 1; index <= count; ++index)
    {
        start_one(all, index);
    }
    REQUIRE(all.run_until([&] { return are_all_ready(all); }, 10s));
    all.run_for(8s);
}

document const& document_at(fleet& all, int index)
{
    return current(all.at(address_of(index)).configuration);
}

bool is_in_force_everywhere(fleet& all, std::uint64_t revision)
{
    for (std::string const& address : all.live_addresses())
    {
        if (current(all.at(address).configuration).revision != revision)
        {
            return false;
        }
    }
    return true;
}

// Revision told by the answer "ok", or zero.
std::uint64_t accepted_revision(fleet& all, int index, std::uint64_t command)
{
    for (answer_operator const& answer : all.at(address_of(index)).answers)
    {
        if (answer.command.value == command && answer.status == "ok")
        {
            return std::stoull(answer.table.rows.at(0).at(1));
        }
    }
    return 0;
}

std::string message_of(fleet& all, int index, std::uint64_t command)
{
    for (answer_operator const& answer : all.at(address_of(index)).answers)
    {
        if (answer.command.value == command)
        {
            return answer.message;
        }
    }
    return "";
}

change creating(std::string const& rank)
{
    change made;
    made.change_id = "create-" + rank;
    made.text = "create rank " + rank;
    create_rank body;
    body.rank.name = rank;
    made.body = body;
    return made;
}

change
altering(std::string const& id, std::string const& rank, std::uint32_t urgency)
{
    change made;
    made.change_id = id;
    made.text = "alter rank " + rank;
    alter_rank body;
    body.name = rank;
    body.urgency = urgency;
    made.body = body;
    return made;
}

// Submits a change and waits until it is answered; the status.
std::string submit_and_wait(fleet& all,
                            int index,
                            std::uint64_t command,
                            change const& requested)
{
    all.submit(address_of(index), command, requested);
    all.run_until(
        [&] { return !all.command_status(address_of(index), command).empty(); },
        20s);
    return all.command_status(address_of(index), command);
}

int count_relays(fleet& all)
{
    int count = 0;
    for (std::string const& address : all.live_addresses())
    {
        count += all.at(address).configuration.own_relay.is_held ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("an accepted change is in force on 13 nodes within the target")
{
    fleet all(1);
    start_nodes(all, 13);
    CHECK(submit_and_wait(all, 4, 1, creating("booking")) == "ok");
    std::uint64_t const revision = accepted_revision(all, 4, 1);
    CHECK(message_of(all, 4, 1) ==
          "accepted as revision " + std::to_string(revision));
    CHECK(all.run_until([&] { return is_in_force_everywhere(all, revision); },
                        in_force_target));
    CHECK(find_rank(document_at(all, 9), "booking") != nullptr);
}

TEST_CASE("a change reaches all nodes though a tenth of the messages are lost")
{
    fleet all(2);
    all.net.loss = 0.1;
    start_nodes(all, 13);
    REQUIRE(submit_and_wait(all, 4, 1, creating("booking")) == "ok");
    std::uint64_t const revision = accepted_revision(all, 4, 1);
    CHECK(all.run_until([&] { return is_in_force_everywhere(all, revision); },
                        in_force_target));
}

TEST_CASE("the same change submitted again is accepted once")
{
    fleet all(3);
    start_nodes(all, 6);
    REQUIRE(submit_and_wait(all, 1, 1, creating("booking")) == "ok");
    CHECK(submit_and_wait(all, 5, 2, creating("booking")) == "ok");
    CHECK(accepted_revision(all, 5, 2) == accepted_revision(all, 1, 1));
    CHECK(document_at(all, 5).ranks.size() == 2);
}

TEST_CASE("a lost answer to the write is found out by reading")
{
    fleet all(4);
    start_nodes(all, 6);
    all.store.answers_to_lose = 1;
    CHECK(submit_and_wait(all, 2, 1, creating("booking")) == "ok");
    all.run_for(in_force_target);
    CHECK(document_at(all, 6).ranks.size() == 2);
    CHECK(document_at(all, 6).changes.size() == 1);
}

TEST_CASE("a write whose answer stays lost is unknown, and found out later")
{
    fleet all(5);
    start_nodes(all, 6);
    all.store.answers_to_lose = 1;
    all.submit(address_of(2), 1, creating("booking"));
    all.store.is_down = true;
    all.run_for(20s);
    CHECK(all.command_status(address_of(2), 1) == "unknown");
    all.store.is_down = false;
    CHECK(submit_and_wait(all, 3, 2, creating("booking")) == "ok");
    CHECK(document_at(all, 3).ranks.size() == 2);
}

TEST_CASE(
    "while the store is down changes are refused and reads tell their age")
{
    fleet all(6);
    start_nodes(all, 6);
    REQUIRE(submit_and_wait(all, 1, 1, creating("booking")) == "ok");
    all.run_for(5s);
    all.store.is_down = true;
    instant const down_at = all.now();
    all.run_for(60s);
    CHECK(submit_and_wait(all, 2, 2, creating("maps")) == "refused");
    CHECK(message_of(all, 2, 2) ==
          "not made: the platform's service is not available");
    CHECK(document_at(all, 2).ranks.size() == 2);
    std::optional<duration> const age =
        confirmed_age(all.at(address_of(2)).configuration, all.now());
    REQUIRE(age.has_value());
    CHECK(*age >= all.now() - down_at - age_precision);
    CHECK(*age <= all.now() - down_at + 5s);
}

TEST_CASE("changes of different objects that race are both accepted")
{
    fleet all(7);
    start_nodes(all, 6);
    all.submit(address_of(1), 1, creating("booking"));
    all.submit(address_of(2), 2, creating("maps"));
    all.run_for(5s);
    CHECK(all.command_status(address_of(1), 1) == "ok");
    CHECK(all.command_status(address_of(2), 2) == "ok");
    CHECK(document_at(all, 6).ranks.size() == 3);
}

TEST_CASE("of two changes of the same object that race one is a conflict")
{
    fleet all(8);
    start_nodes(all, 6);
    REQUIRE(submit_and_wait(all, 1, 1, creating("booking")) == "ok");
    all.run_for(in_force_target);
    all.submit(address_of(2), 2, altering("a", "booking", 5));
    all.submit(address_of(3), 3, altering("b", "booking", 7));
    all.run_for(5s);
    CHECK(all.command_status(address_of(2), 2) == "ok");
    CHECK(all.command_status(address_of(3), 3) == "conflict");
    std::string const first = std::to_string(accepted_revision(all, 2, 2));
    std::string const base = std::to_string(accepted_revision(all, 1, 1));
    CHECK(message_of(all, 3, 3) ==
          "not made: rank:booking was changed by revision " + first +
              ", \"alter rank booking\", after revision " + base);
    CHECK(find_rank(document_at(all, 5), "booking")->urgency == 5);
}

TEST_CASE(
    "an expected revision conflicts with later changes of the object only")
{
    fleet all(9);
    start_nodes(all, 6);
    REQUIRE(submit_and_wait(all, 1, 1, creating("booking")) == "ok");
    std::uint64_t const looked_at = accepted_revision(all, 1, 1);
    REQUIRE(submit_and_wait(all, 1, 2, altering("a", "booking", 5)) == "ok");
    change stale = altering("b", "booking", 7);
    stale.expected_revision = looked_at;
    CHECK(submit_and_wait(all, 1, 3, stale) == "conflict");
    change other = creating("maps");
    other.expected_revision = looked_at;
    CHECK(submit_and_wait(all, 1, 4, other) == "ok");
    change ahead = creating("more");
    ahead.expected_revision = 1'000'000;
    CHECK(submit_and_wait(all, 1, 5, ahead) == "refused");
}

TEST_CASE("a change that needs one not yet known here is made after a reading")
{
    fleet all(10);
    start_nodes(all, 6);
    all.net.groups[address_of(5)] = 1;
    REQUIRE(submit_and_wait(all, 1, 1, creating("booking")) == "ok");
    REQUIRE(document_at(all, 5).ranks.size() == 1);
    CHECK(submit_and_wait(all, 5, 2, altering("a", "booking", 5)) == "ok");
    CHECK(submit_and_wait(all, 5, 3, altering("b", "unheard-of", 5)) ==
          "refused");
}

TEST_CASE("a change whose node dies after the write gets about by the relays")
{
    fleet all(11);
    start_nodes(all, 13);
    REQUIRE(count_relays(all) > 0);
    all.store.answers_to_lose = 1;
    all.submit(address_of(3), 1, creating("booking"));
    all.crash(address_of(3));
    CHECK(all.run_until([&] { return document_at(all, 8).ranks.size() == 2; },
                        in_force_target));
    std::uint64_t const revision = document_at(all, 8).revision;
    CHECK(all.run_until([&] { return is_in_force_everywhere(all, revision); },
                        in_force_target));
}

TEST_CASE("a relay paused past its lease does no harm and gives way")
{
    fleet all(12);
    start_nodes(all, 13);
    std::string paused;
    for (std::string const& address : all.live_addresses())
    {
        if (all.at(address).configuration.own_relay.is_held)
        {
            paused = address;
        }
    }
    REQUIRE(!paused.empty());
    all.pause(paused, 60s);
    all.run_for(30s);
    int const submitter = paused == address_of(1) ? 2 : 1;
    REQUIRE(submit_and_wait(all, submitter, 1, creating("booking")) == "ok");
    std::uint64_t const revision = accepted_revision(all, submitter, 1);
    all.run_for(40s);
    CHECK(current(all.at(paused).configuration).revision == revision);
    CHECK(is_in_force_everywhere(all, revision));
    CHECK(!all.at(paused).configuration.own_relay.is_held);
}

TEST_CASE("a fresh node takes the peers' revision while the store is down")
{
    fleet all(13);
    start_nodes(all, 6);
    REQUIRE(submit_and_wait(all, 1, 1, creating("booking")) == "ok");
    std::uint64_t const revision = accepted_revision(all, 1, 1);
    all.run_for(5s);
    all.store.is_down = true;
    start_one(all, 7);
    CHECK(!is_ready(all.at(address_of(7)).configuration));
    CHECK(all.run_until(
        [&] { return is_ready(all.at(address_of(7)).configuration); }, 10s));
    CHECK(document_at(all, 7).revision == revision);
}

TEST_CASE("a fresh node that reaches neither store nor peers is not ready")
{
    fleet all(14);
    all.store.is_down = true;
    start_one(all, 7);
    all.run_for(120s);
    CHECK(!is_ready(all.at(address_of(7)).configuration));
    CHECK(submit_and_wait(all, 7, 1, creating("booking")) == "refused");
}

TEST_CASE("a slow store delays changes but loses none")
{
    fleet all(15);
    start_nodes(all, 6);
    all.store.delay = 900ms;
    CHECK(submit_and_wait(all, 1, 1, creating("booking")) == "ok");
    // So slow that every answer is given up before it comes.
    all.store.delay = 3s;
    CHECK(submit_and_wait(all, 2, 2, creating("maps")) == "unknown");
    all.store.delay = 2ms;
    CHECK(submit_and_wait(all, 3, 3, creating("maps")) == "ok");
    CHECK(document_at(all, 3).ranks.size() == 3);
}

TEST_CASE("the sides of a cut agree on the highest revision when it heals")
{
    fleet all(16);
    start_nodes(all, 12);
    for (int index = 1; index <= 6; ++index)
    {
        all.net.groups[address_of(index)] = 1;
    }
    REQUIRE(submit_and_wait(all, 1, 1, creating("booking")) == "ok");
    REQUIRE(submit_and_wait(all, 12, 2, creating("maps")) == "ok");
    all.run_for(30s);
    all.net.groups.clear();
    std::uint64_t const newest = accepted_revision(all, 12, 2);
    CHECK(all.run_until([&] { return is_in_force_everywhere(all, newest); },
                        30s));
    CHECK(document_at(all, 3).ranks.size() == 3);
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
                accepted.requested = creating("rank-" + std::to_string(index));
                result<document> made =
                    make_successor(configuration.in_force, accepted.requested);
                RC_ASSERT(made.has_value());
                set_revision(made.value(), revision);
                accepted.content_hash = hash_document(made.value());
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
