// Replays a recorded trace of one node and counts what the node did.
#pragma once

#include "codec/trace_codec.hpp"
#include "node/node.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantaintally::node
{

// What a node did over a trace: whole answers, refusals by reason and verdict,
// dispatches, forwards, retries and exits.
using replay_counts = std::map<std::string, std::uint64_t>;

// A trace with the node that it was taken from and the stated outcome.
struct recorded_trace
{
    options startup_options;
    std::vector<codec::recorded_event> events;
    replay_counts at_least;
    replay_counts at_most;
};

// Hands the events to a fresh node.
replay_counts replay(options const& startup_options,
                     std::vector<codec::recorded_event> const& events);

// Reads traces/NAME.jsonl and traces/NAME.outcome.json.
recorded_trace read_trace(std::string const& name);

// Writes both files.
void write_trace(std::string const& name, recorded_trace const& trace);

} // namespace plantaintally::node
