// Replays a recorded trace of one node and counts the node's effects.
#pragma once

#include "codec/trace_codec.hpp"
#include "node/node.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantaintally::node
{

// Counts of a node's effects during a trace: upstream answers, refusals by
// reason and verdict, dispatches, forwards, retries and exits.
using replay_counts = std::map<std::string, std::uint64_t>;

// A trace with the options of the node it was recorded at, and the expected
// bounds of the counts.
struct recorded_trace
{
    options startup_options;
    std::vector<codec::recorded_event> events;
    replay_counts at_least;
    replay_counts at_most;
};

// Passes the events to a new node and counts its effects.
replay_counts replay(options const& startup_options,
                     std::vector<codec::recorded_event> const& events);

// Reads traces/NAME.jsonl and traces/NAME.outcome.json.
recorded_trace read_trace(std::string const& name);

// Writes both files.
void write_trace(std::string const& name, recorded_trace const& trace);

} // namespace plantaintally::node
