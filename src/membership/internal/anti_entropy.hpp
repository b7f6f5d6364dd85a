// Anti-entropy: detects differences between views by comparing digests, and
// repairs them.
#pragma once

#include "membership/state.hpp"

#include <string>
#include <string_view>

namespace plantaintally::membership
{

// Starts a comparison of the whole view with a peer.
void compare_views(state& membership,
                   std::string const& address,
                   step& current);

// Requests a peer's records of a service; it sends them if its hash differs.
void request_service_records(state& membership,
                             std::string_view service,
                             std::string const& address,
                             step& current);

// Handles one step of a comparison, see view_digest.
void handle_digest(state& membership,
                   node_id const& sender,
                   view_digest const& digest,
                   step& current);

// Requests the records of the next few services that are known to differ.
void fetch_services(state& membership, step& current);

} // namespace plantaintally::membership
