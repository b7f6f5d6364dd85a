#include "codec/control_codec.hpp"
#include "membership/internal/anti_entropy.hpp"
#include "membership/internal/cell.hpp"
#include "membership/internal/view.hpp"
#include "membership/measure/samples.hpp"
#include "membership/measure/sections.hpp"
#include "membership/membership.hpp"

#include <malloc.h>

#include <chrono>
#include <functional>
#include <string>
#include <utility>

namespace plantaintally::measure
{

namespace
{

constexpr std::size_t cell_size = 16;

// A membership reducer with the sources that its steps use.
struct single_node
{
    membership::state membership;
    random_source random;
    id_source ids;
    timeline::hybrid_clock clock;
    instant now = instant(std::chrono::hours(1));

    explicit single_node(std::uint64_t seed) : random(seed) {}

    // Runs one step and returns its effects.
    effects run(std::function<void(membership::state&, step&)> const& body)
    {
        effects out;
        wall_time const wall(this->now.time_since_epoch());
        step current{
            moment{this->now, wall}, this->random, this->ids, this->clock, out};
        body(this->membership, current);
        return out;
    }
};

std::size_t used_memory()
{
    return mallinfo2().uordblks;
}

// A sample member. The first ones form a service of the size of a cell; the
// others are divided among services in the planned proportions.
membership::member_record fleet_member(std::size_t number)
{
    membership::member_record record = sample_member(number);
    if (number < cell_size)
    {
        record.service = "own-service";
    }
    return record;
}

void populate_view(single_node& node, std::size_t members)
{
    node.membership.startup_options.self = fleet_member(0).node;
    node.membership.startup_options.availability_zone =
        fleet_member(0).availability_zone;
    membership::gossip all;
    all.is_repair = true;
    for (std::size_t number = 1; number < members; ++number)
    {
        all.news.push_back(fleet_member(number));
    }
    node.run(
        [&](membership::state& membership, step& current)
        {
            membership::start(membership, current);
            membership::handle_message(
                membership, fleet_member(1).node, all, current);
            upstream_announcement announcement;
            announcement.service = "own-service";
            announcement.slots = 200;
            membership::announce(membership, announcement, current);
        });
}

// Mean elapsed time of `body` over `count` calls, in microseconds.
double mean_microseconds(std::size_t count,
                         std::function<void(std::size_t)> const& body)
{
    auto const begin = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < count; ++index)
    {
        body(index);
    }
    std::chrono::duration<double, std::micro> const passed =
        std::chrono::steady_clock::now() - begin;
    return passed.count() / static_cast<double>(count);
}

membership::heartbeat sample_heartbeat(single_node& node)
{
    membership::heartbeat beat;
    for (std::size_t number = 0; number < cell_size; ++number)
    {
        beat.heard.push_back(
            membership::short_hash(fleet_member(number).node.address));
    }
    beat.view_hash = membership::hash_service(node.membership, "own-service");
    return beat;
}

void measure_messages(report& out,
                      std::string const& parameters,
                      single_node& node,
                      std::size_t members)
{
    membership::heartbeat const beat = sample_heartbeat(node);
    out.add("costs",
            "heartbeat received",
            parameters,
            mean_microseconds(
                20'000,
                [&](std::size_t index)
                {
                    node_id const sender =
                        fleet_member(1 + index % (cell_size - 1)).node;
                    node.run(
                        [&](auto& membership, step& current) {
                            membership::handle_message(
                                membership, sender, beat, current);
                        });
                }),
            "us");
    out.add("costs",
            "gossip received, one new record",
            parameters,
            mean_microseconds(
                5'000,
                [&](std::size_t index)
                {
                    membership::member_record news =
                        fleet_member(cell_size + index % (members - cell_size));
                    news.status_version =
                        static_cast<std::uint32_t>(10 + index);
                    node.run(
                        [&](auto& membership, step& current)
                        {
                            membership::handle_message(
                                membership,
                                fleet_member(1).node,
                                membership::gossip{{news}, false},
                                current);
                        });
                    node.membership.news.clear();
                }),
            "us");
    membership::view_digest digest;
    digest.bucket_hashes = membership::hash_buckets(node.membership);
    out.add("costs",
            "view digest received, views equal",
            parameters,
            mean_microseconds(500,
                              [&](std::size_t)
                              {
                                  node.run(
                                      [&](auto& membership, step& current)
                                      {
                                          membership::handle_message(
                                              membership,
                                              fleet_member(1).node,
                                              digest,
                                              current);
                                      });
                              }),
            "us");
}

void measure_periodic_work(report& out,
                           std::string const& parameters,
                           single_node& node)
{
    out.add("costs",
            "timer with heartbeats to a cell",
            parameters,
            mean_microseconds(
                2'000,
                [&](std::size_t)
                {
                    node.now +=
                        node.membership.startup_options.heartbeat_interval;
                    for (auto& [address, peer] : node.membership.watched)
                    {
                        peer.heard_at = node.now;
                        peer.evidence_at = node.now;
                    }
                    node.membership.last_message_at = node.now;
                    node.run([&](auto& membership, step& current)
                             { membership::handle_time(membership, current); });
                }),
            "us");
    out.add("costs",
            "draw of three peers",
            parameters,
            mean_microseconds(
                5'000,
                [&](std::size_t)
                {
                    node.run(
                        [&](auto& membership, step& current)
                        { membership::draw_peers(membership, 3, current); });
                }),
            "us");
    membership::member_record sole_member = fleet_member(0);
    sole_member.service = "service-1";
    out.add("costs",
            "choice of outside watchers",
            parameters,
            mean_microseconds(20,
                              [&](std::size_t) {
                                  membership::outside_watchers_of(
                                      node.membership, sole_member);
                              }),
            "us");
    out.add("costs",
            "copy of all members",
            parameters,
            mean_microseconds(20,
                              [&](std::size_t)
                              { membership::all_members(node.membership); }),
            "us");
}

void measure_codec(report& out, single_node& node)
{
    control_envelope envelope;
    envelope.sender = fleet_member(1).node;
    envelope.message = membership::message(sample_heartbeat(node));
    std::vector<std::uint8_t> const bytes = codec::encode_control(envelope);
    out.add("costs",
            "heartbeat encoded",
            "",
            mean_microseconds(
                20'000, [&](std::size_t) { codec::encode_control(envelope); }),
            "us");
    out.add("costs",
            "heartbeat decoded",
            "",
            mean_microseconds(20'000,
                              [&](std::size_t) {
                                  [[maybe_unused]] auto read =
                                      codec::decode_control(bytes);
                              }),
            "us");
    envelope.message =
        membership::message(membership::gossip{{fleet_member(2)}, false});
    std::vector<std::uint8_t> const news = codec::encode_control(envelope);
    out.add("costs",
            "gossip of one record encoded",
            "",
            mean_microseconds(
                20'000, [&](std::size_t) { codec::encode_control(envelope); }),
            "us");
    out.add("costs",
            "gossip of one record decoded",
            "",
            mean_microseconds(20'000,
                              [&](std::size_t) {
                                  [[maybe_unused]] auto read =
                                      codec::decode_control(news);
                              }),
            "us");
}

} // namespace

void measure_costs(report& out, std::uint64_t seed)
{
    for (std::size_t const members : {std::size_t(100),
                                      std::size_t(1'000),
                                      std::size_t(4'000),
                                      planned_nodes})
    {
        std::string const parameters = "members=" + std::to_string(members);
        std::size_t const before = used_memory();
        single_node node(seed);
        populate_view(node, members);
        double const memory = static_cast<double>(used_memory() - before);
        out.add("costs", "memory of the view", parameters, memory, "B");
        out.add("costs",
                "memory for each record",
                parameters,
                memory / static_cast<double>(members),
                "B");
        measure_messages(out, parameters, node, members);
        measure_periodic_work(out, parameters, node);
        if (members == planned_nodes)
        {
            measure_codec(out, node);
        }
    }
}

} // namespace plantaintally::measure
