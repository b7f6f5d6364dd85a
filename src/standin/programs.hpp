// Entry points of the stand-in programs; each runs until a signal arrives or
// its work is done.
#pragma once

#include "standin/caller_plan.hpp"
#include "standin/upstream_options.hpp"

#include <cstdint>
#include <string>

namespace plantaintally::standin
{

// Serves the platform's key-value API on `address` ("host:port") until SIGTERM
// or SIGINT. Returns the exit code.
int run_platform(std::string const& address, std::uint64_t seed);

// Serves as an upstream until SIGTERM or SIGINT, then drains and prints its
// report as JSON. Returns the exit code.
int run_upstream(upstream_options const& options);

// The control endpoint and the output files of a caller.
struct caller_outputs
{
    // host:port of the control endpoint; empty: none.
    std::string control_address;
    // File for the summary; empty: standard output.
    std::string report_path;
    // File for the request records, as JSON lines; empty: not written.
    std::string records_path;
};

// Sends the traffic of a plan and writes the results. SIGTERM or SIGINT ends
// the traffic early. Returns the exit code: 1 if the results can't be written.
int run_caller(caller_plan plan, caller_outputs const& outputs);

} // namespace plantaintally::standin
