// Detects connections to unresponsive hosts.
#pragma once

#include "drivers/http.hpp"

namespace plantaintally::drivers
{

// Makes the kernel end the connection with an error a few seconds after the
// peer or the network path stops responding. TCP keep-alive probes detect this
// on an idle connection, and a limit for unacknowledged data otherwise.
void enable_dead_peer_detection(tcp::socket& socket);

} // namespace plantaintally::drivers
