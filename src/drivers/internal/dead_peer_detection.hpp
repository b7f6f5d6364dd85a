// Detects connections to unresponsive hosts.
#pragma once

#include "drivers/http.hpp"

#include <chrono>

namespace plantaintally::drivers
{

struct dead_peer_limits
{
    // Seconds without traffic before the first probe, and between probes.
    int probe_idle_s = 1;
    int probe_interval_s = 1;
    // Unanswered probes after which the connection is considered dead.
    int max_lost_probes = 2;
    // Longest time for which sent data may stay unacknowledged.
    std::chrono::milliseconds max_unacknowledged{2500};
};

// Makes the kernel end the connection with an error a few seconds after the
// peer or the network path stops responding. TCP keep-alive probes detect this
// on an idle connection, and a limit for unacknowledged data otherwise.
void enable_dead_peer_detection(tcp::socket& socket,
                                dead_peer_limits const& limits = {});

} // namespace plantaintally::drivers
