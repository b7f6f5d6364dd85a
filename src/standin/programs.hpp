// Runs each stand-in as a process, until a signal or the end of its work.
#pragma once

#include "standin/caller_plan.hpp"
#include "standin/upstream_options.hpp"

#include <cstdint>
#include <string>

namespace plantaintally::standin
{

// Serves the key-value API on "host:port" until SIGTERM or SIGINT. Returns
// the exit code.
int run_platform(std::string const& address, std::uint64_t seed);

// Serves as an upstream until SIGTERM or SIGINT, then drains and prints its
// report as JSON.
int run_upstream(upstream_options const& options);

// Where a caller's results go.
struct caller_outputs
{
    // Control endpoint, host:port; empty: none.
    std::string control_address;
    // Path of the summary; empty: standard output.
    std::string report_path;
    // Path of the JSON lines with every request; empty: none.
    std::string records_path;
};

// Sends a plan's traffic and writes the results; a signal ends it early.
int run_caller(caller_plan plan, caller_outputs const& outputs);

} // namespace plantaintally::standin
