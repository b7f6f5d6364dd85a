// Repair of differences between views, by digests of services.
#pragma once

#include "membership/state.hpp"

#include <string>
#include <string_view>

namespace plantaintally::membership
{

// Begins a comparison of the whole view with a peer.
void compare_views(state& membership,
                   std::string const& address,
                   step& current);

// Asks a peer for its records of a service where they differ from those here.
void ask_service(state& membership,
                 std::string_view service,
                 std::string const& address,
                 step& current);

// Takes one step of a comparison, see view_digest.
void handle_digest(state& membership,
                   node_id const& sender,
                   view_digest const& digest,
                   step& current);

// Asks for the next few services that are known to differ.
void fetch_services(state& membership, step& current);

} // namespace plantaintally::membership
