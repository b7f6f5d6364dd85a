#include "configuration/configuration.hpp"
#include "codec/control_codec.hpp"
#include "codec/document_codec.hpp"
#include "configuration/internal/change_rules.hpp"
#include "configuration/internal/in_force.hpp"
#include "membership/measure/configuration_fleet.hpp"
#include "membership/measure/samples.hpp"
#include "membership/measure/sections.hpp"

#include <chrono>
#include <string>
#include <utility>

namespace plantaintally::measure
{

namespace
{

constexpr std::size_t planned_ranks = 20;

configuration::change sample_change()
{
    configuration::change made;
    made.change_id = "0193a5e2-7f3c-7d2b-9c41-900000000000";
    made.text = "alter rank rank-7 urgency 30 worth 5 deadline 3s";
    configuration::alter_rank body;
    body.name = "rank-7";
    body.urgency = 30;
    body.worth = 5;
    body.deadline = std::chrono::seconds(3);
    made.body = body;
    return made;
}

std::size_t encoded_bytes(configuration::message message)
{
    control_envelope envelope;
    envelope.sender = sample_member(1).node;
    envelope.message = std::move(message);
    return codec::encode_control(envelope).size();
}

double microseconds_since(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - begin)
        .count();
}

// Measures the cost of one change to a document with this many rules.
void measure_change(report& out, std::size_t rules)
{
    using namespace configuration;
    std::string const parameters = "rules=" + std::to_string(rules);
    document const base =
        sample_document(planned_ranks, rules, max_change_records);
    change const requested = sample_change();
    out.add("configuration",
            "document as stored",
            parameters,
            static_cast<double>(codec::encode_document(base).size()),
            "B");
    out.add("configuration",
            "document between nodes",
            parameters,
            static_cast<double>(encoded_bytes(document_update{base})),
            "B");
    auto begin = std::chrono::steady_clock::now();
    document successor = make_successor(base, requested).value();
    set_revision(successor, base.revision + 1);
    std::uint64_t const hash = hash_document(successor);
    out.add("configuration",
            "applying a change and its hash",
            parameters,
            microseconds_since(begin),
            "us");
    begin = std::chrono::steady_clock::now();
    std::string const text = codec::encode_document(successor);
    out.add("configuration",
            "encoding the document",
            parameters,
            microseconds_since(begin),
            "us");
    begin = std::chrono::steady_clock::now();
    result<document> const read = codec::decode_document(text);
    out.add("configuration",
            "decoding the document",
            parameters,
            read ? microseconds_since(begin) : 0,
            "us");
    accepted_change const accepted{
        base.revision, base.revision + 1, hash, requested};
    out.add("configuration",
            "change between nodes",
            parameters,
            static_cast<double>(encoded_bytes(change_batch{{accepted}})),
            "B");
}

// Measures the time until a change is in force on all `nodes` and the messages
// that this takes.
void measure_in_force(report& out,
                      std::size_t nodes,
                      double loss,
                      std::uint64_t seed)
{
    configuration_fleet all(nodes, loss, seed);
    all.run_for(std::chrono::seconds(3));
    all.accept_change(sample_change());
    spread_figures const figures = all.run_until_in_force();
    std::string const parameters =
        "nodes=" + std::to_string(nodes) +
        " loss=" + std::to_string(static_cast<int>(loss * 100)) + "%";
    auto const milliseconds = [](duration span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    };
    out.add("configuration",
            "in force on 99 in 100",
            parameters,
            milliseconds(figures.until_99_percent),
            "ms");
    out.add("configuration",
            "in force everywhere",
            parameters,
            milliseconds(figures.until_all),
            "ms");
    out.add("configuration",
            "changes sent by each node",
            parameters,
            static_cast<double>(figures.messages) / static_cast<double>(nodes),
            "messages");
}

} // namespace

void measure_configuration(report& out, std::uint64_t seed)
{
    measure_change(out, 20);
    measure_change(out, planned_services);
    for (std::size_t const nodes :
         {std::size_t(13), std::size_t(100), std::size_t(1'000), planned_nodes})
    {
        measure_in_force(out, nodes, 0, seed);
        measure_in_force(out, nodes, 0.1, seed);
    }
}

} // namespace plantaintally::measure
