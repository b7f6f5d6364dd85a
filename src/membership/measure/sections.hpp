// The sections of the measurement program.
#pragma once

#include "membership/measure/report.hpp"

#include <cstdint>

namespace plantaintally::measure
{

// Bytes of each control message as encoded.
void measure_bytes(report& out);

// Processor time for each event, and memory for each record, as the number of
// known members grows.
void measure_costs(report& out, std::uint64_t seed);

// False suspicions and time to detection, with plain heartbeats and with
// digests, as messages are lost.
void measure_detection(report& out, std::uint64_t seed);

// Time and messages until all nodes know a change of a member.
void measure_spread(report& out, std::uint64_t seed);

// Bytes and processor time of a configuration change, and the time until it is
// in force everywhere.
void measure_configuration(report& out, std::uint64_t seed);

} // namespace plantaintally::measure
