#include "replay.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <stdexcept>

namespace plantaintally::node
{

namespace
{

using nlohmann::json;

void count_refusal(replay_counts& totals, refuse_request const& refused)
{
    refusal const reason =
        refused.report.reason.value_or(refusal::attempt_failed);
    ++totals["refused"];
    ++totals["refused " + std::string(to_string(reason))];
    ++totals["refused as " + std::string(to_string(refused.report.outcome))];
}

void count_effect(replay_counts& totals, effect const& emitted)
{
    if (auto const* refused = std::get_if<refuse_request>(&emitted))
    {
        return count_refusal(totals, *refused);
    }
    totals["answered"] += std::holds_alternative<answer_from_attempt>(emitted);
    totals["dispatched"] += std::holds_alternative<dispatch_request>(emitted);
    totals["forwarded"] += std::holds_alternative<forward_request>(emitted);
    totals["exited"] += std::holds_alternative<exit_process>(emitted);
}

// Number of requests that have arrived and were neither answered, refused nor
// cancelled by their sender.
std::uint64_t count_open(state const& node)
{
    std::uint64_t open = 0;
    for (auto const& [id, request] : node.table.exchanges)
    {
        open += request.is_answered ? 0 : 1;
    }
    return open;
}

json options_to_json(options const& startup_options)
{
    return {{"address", startup_options.self.address},
            {"incarnation", startup_options.self.incarnation},
            {"availability_zone", startup_options.availability_zone},
            {"contacts", startup_options.contacts},
            {"seed", startup_options.seed}};
}

options options_from_json(json const& text)
{
    options startup_options;
    startup_options.self.address = text.at("address");
    startup_options.self.incarnation = text.at("incarnation");
    startup_options.availability_zone = text.at("availability_zone");
    startup_options.contacts =
        text.at("contacts").get<std::vector<std::string>>();
    startup_options.seed = text.at("seed");
    return startup_options;
}

} // namespace

replay_counts replay(options const& startup_options,
                     std::vector<codec::recorded_event> const& events)
{
    state node = make_state(startup_options);
    replay_counts totals;
    for (codec::recorded_event const& recorded : events)
    {
        for (effect const& emitted :
             reduce(node, recorded.happened, recorded.at))
        {
            count_effect(totals, emitted);
        }
    }
    for (auto const& [key, value] : node.request_counts.total)
    {
        std::string const kind(to_string(key.kind));
        totals[kind + " of " + key.rank] += value;
        totals[kind + " in all"] += value;
    }
    totals["open at the end"] = count_open(node);
    return totals;
}

recorded_trace read_trace(std::string const& name)
{
    recorded_trace trace;
    std::ifstream outcome_file("traces/" + name + ".outcome.json");
    json const outcome = json::parse(outcome_file);
    trace.startup_options = options_from_json(outcome.at("node"));
    trace.at_least = outcome.at("at_least").get<replay_counts>();
    trace.at_most = outcome.at("at_most").get<replay_counts>();
    std::ifstream lines("traces/" + name + ".jsonl");
    std::string line;
    while (std::getline(lines, line))
    {
        auto decoded = codec::decode_event(line);
        if (!decoded)
        {
            throw std::runtime_error(decoded.error().message);
        }
        trace.events.push_back(std::move(decoded).value());
    }
    return trace;
}

void write_trace(std::string const& name, recorded_trace const& trace)
{
    std::ofstream lines("traces/" + name + ".jsonl");
    for (codec::recorded_event const& recorded : trace.events)
    {
        lines << codec::encode_event(recorded) << '\n';
    }
    json const outcome = {{"node", options_to_json(trace.startup_options)},
                          {"at_least", trace.at_least},
                          {"at_most", trace.at_most}};
    std::ofstream outcome_file("traces/" + name + ".outcome.json");
    outcome_file << outcome.dump(2) << '\n';
}

} // namespace plantaintally::node
