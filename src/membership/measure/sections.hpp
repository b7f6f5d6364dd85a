// The sections of the measurement program.
#pragma once

#include "membership/measure/report.hpp"

#include <cstdint>

namespace plantaintally::measure
{

// Measures the encoded size of control messages.
void measure_bytes(report& out);

// Measures the time per event and the memory per record as the number of known
// members grows.
void measure_costs(report& out, std::uint64_t seed);

// Measures false suspicions and detection times with and without digests, at
// several rates of message loss.
void measure_detection(report& out, std::uint64_t seed);

// Measures the time and the messages until all nodes know a change of a member,
// and the traffic of an idle fleet.
void measure_spread(report& out, std::uint64_t seed);

// Measures the bytes and the time that a configuration change costs a node, and
// the time until it is in force everywhere.
void measure_configuration(report& out, std::uint64_t seed);

// Measures the calls to the key-value store of nodes that start, and the time
// until they know each other: all at once, one in a running fleet, and all at
// once after the loss of a fleet.
void measure_contacts(report& out, std::uint64_t seed);

} // namespace plantaintally::measure
