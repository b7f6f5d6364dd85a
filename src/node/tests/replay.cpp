#include "replay.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <stdexcept>

namespace plantaintally::node
{

namespace
{

using nlohmann::json;

void count_refusal(replay_counts& counts, refuse_request const& refused)
{
    refusal const reason =
        refused.report.reason.value_or(refusal::attempt_failed);
    ++counts["refused"];
    ++counts["refused " + std::string(to_string(reason))];
    ++counts["refused as " + std::string(to_string(refused.report.outcome))];
}

void count_effect(replay_counts& counts, effect const& asked)
{
    if (auto const* refused = std::get_if<refuse_request>(&asked))
    {
        return count_refusal(counts, *refused);
    }
    counts["answered"] += std::holds_alternative<answer_from_attempt>(asked);
    counts["dispatched"] += std::holds_alternative<dispatch_request>(asked);
    counts["forwarded"] += std::holds_alternative<forward_request>(asked);
    counts["exited"] += std::holds_alternative<exit_process>(asked);
}

// Requests that arrived and were neither answered nor refused nor given up by
// their sender.
std::uint64_t count_open(state const& node)
{
    std::uint64_t open = 0;
    for (auto const& [id, item] : node.table.exchanges)
    {
        open += item.is_answered ? 0 : 1;
    }
    return open;
}

json options_to_json(options const& own)
{
    return {{"address", own.self.address},
            {"incarnation", own.self.incarnation},
            {"availability_zone", own.availability_zone},
            {"contacts", own.contacts},
            {"seed", own.seed}};
}

options options_from_json(json const& text)
{
    options own;
    own.self.address = text.at("address");
    own.self.incarnation = text.at("incarnation");
    own.availability_zone = text.at("availability_zone");
    own.contacts = text.at("contacts").get<std::vector<std::string>>();
    own.seed = text.at("seed");
    return own;
}

} // namespace

replay_counts replay(options const& own,
                     std::vector<codec::recorded_event> const& events)
{
    state node = make_state(own);
    replay_counts seen;
    for (codec::recorded_event const& recorded : events)
    {
        for (effect const& asked : reduce(node, recorded.happened, recorded.at))
        {
            count_effect(seen, asked);
        }
    }
    for (auto const& [key, value] : node.counted.total)
    {
        std::string const kind(to_string(key.kind));
        seen[kind + " of " + key.rank] += value;
        seen[kind + " in all"] += value;
    }
    seen["open at the end"] = count_open(node);
    return seen;
}

stated_trace read_trace(std::string const& name)
{
    stated_trace trace;
    std::ifstream stated("traces/" + name + ".outcome.json");
    json const outcome = json::parse(stated);
    trace.own = options_from_json(outcome.at("node"));
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

void write_trace(std::string const& name, stated_trace const& trace)
{
    std::ofstream lines("traces/" + name + ".jsonl");
    for (codec::recorded_event const& recorded : trace.events)
    {
        lines << codec::encode_event(recorded) << '\n';
    }
    json const outcome = {{"node", options_to_json(trace.own)},
                          {"at_least", trace.at_least},
                          {"at_most", trace.at_most}};
    std::ofstream stated("traces/" + name + ".outcome.json");
    stated << outcome.dump(2) << '\n';
}

} // namespace plantaintally::node
