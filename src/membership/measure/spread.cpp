#include "codec/control_codec.hpp"
#include "membership/measure/gossip_model.hpp"
#include "membership/measure/samples.hpp"
#include "membership/measure/sections.hpp"
#include "test_fleet/fleet.hpp"

#include <string>

namespace plantaintally::measure
{

namespace
{

using namespace std::chrono_literals;
using test_fleet::fleet;

constexpr duration idle_time = std::chrono::seconds(20);

double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// Starts nodes in the planned proportions, each with a complete view.
void start_fleet(fleet& all, std::size_t nodes)
{
    all.keeps_entries = false;
    all.net.delay = 10ms;
    membership::gossip everyone;
    everyone.is_repair = true;
    for (std::size_t number = 0; number < nodes; ++number)
    {
        membership::member_record const member = sample_member(number);
        all.start_node(
            member.node.address, member.availability_zone, member.service);
        everyone.news.push_back(
            *all.at(member.node.address).membership.self_record);
    }
    for (std::string const& address : all.live_addresses())
    {
        all.run_step(address,
                     [&](test_fleet::fleet_node& node, step& current)
                     {
                         membership::handle_message(node.membership,
                                                    everyone.news.front().node,
                                                    everyone,
                                                    current);
                     });
    }
    all.run_for(10s);
}

void measure_idle_traffic(report& out,
                          fleet& all,
                          std::string const& parameters)
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    all.on_send = [&](std::string const& from, send_control const& sent)
    {
        control_envelope envelope;
        envelope.sender = {from, 1'796'000'000'000};
        envelope.sent_at = {1'796'000'000'000'000, 3};
        envelope.message = sent.message;
        messages += 1;
        bytes += codec::encode_control(envelope).size();
    };
    all.run_for(idle_time);
    all.on_send = nullptr;
    double const node_seconds =
        static_cast<double>(all.live_addresses().size()) *
        std::chrono::duration<double>(idle_time).count();
    out.add("spread",
            "messages sent in quiet hours",
            parameters,
            static_cast<double>(messages) / node_seconds,
            "1/node/s");
    out.add("spread",
            "bytes sent in quiet hours",
            parameters,
            static_cast<double>(bytes) / node_seconds,
            "B/node/s");
}

// Measures idle traffic, then the time until a drain is known everywhere, with
// the reducer itself.
void measure_drain(report& out, std::size_t nodes, std::uint64_t seed)
{
    std::string const parameters = "reducer, nodes=" + std::to_string(nodes);
    fleet all(seed);
    start_fleet(all, nodes);
    measure_idle_traffic(out, all, parameters);
    std::string const drained = sample_address(nodes / 2);
    all.run_step(drained,
                 [](test_fleet::fleet_node& node, step& current)
                 { membership::announce_draining(node.membership, current); });
    instant const begin = all.now();
    auto const is_known = [&]
    {
        for (std::string const& viewer : all.live_addresses())
        {
            if (all.status(viewer, drained) !=
                membership::member_status::draining)
            {
                return false;
            }
        }
        return true;
    };
    while (!is_known() && all.now() - begin < 60s)
    {
        all.run_for(10ms);
    }
    out.add("spread",
            "drain known everywhere",
            parameters,
            milliseconds(all.now() - begin),
            "ms");
}

void measure_model(report& out, gossip_model_setup const& setup)
{
    std::string const parameters =
        "model, nodes=" + std::to_string(setup.nodes) +
        " items=" + std::to_string(setup.items) +
        " loss=" + std::to_string(static_cast<int>(setup.loss * 100)) + "%";
    gossip_figures const figures = run_gossip_model(setup);
    out.add("spread",
            "known to 99 in 100",
            parameters,
            milliseconds(figures.until_99_percent),
            "ms");
    out.add("spread",
            "last reached by gossip",
            parameters,
            milliseconds(figures.until_last),
            "ms");
    out.add("spread",
            "share left to comparison",
            parameters,
            figures.missed_fraction,
            "");
    out.add("spread",
            "copies of an item by a node",
            parameters,
            figures.mean_copies,
            "messages");
}

} // namespace

void measure_spread(report& out, std::uint64_t seed)
{
    for (std::size_t const nodes : {13U, 50U, 100U, 300U})
    {
        measure_drain(out, nodes, seed);
    }
    for (std::size_t const nodes : {std::size_t(300), planned_nodes})
    {
        for (double const loss : {0.0, 0.1})
        {
            measure_model(out, {nodes, 1, loss, seed});
        }
    }
    // As many simultaneous changes as the failure of a rack, and of an
    // availability zone, causes.
    measure_model(out, {planned_nodes, 40, 0, seed});
    measure_model(out, {planned_nodes, planned_nodes / planned_zones, 0, seed});
}

} // namespace plantaintally::measure
