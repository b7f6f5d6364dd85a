// Attempts to reach the listed contacts. Whether a listed node runs is found
// out by contact: it answers a comparison of views.
#pragma once

#include "membership/state.hpp"
#include "messages/step.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::membership
{

// Number of listed addresses contacted at a time.
inline constexpr std::size_t max_contacted_nodes = 3;

// True for all nodes of a small fleet, and for a few, drawn at random, of a
// large one. Lets something that all nodes notice be done without calls or
// messages that grow with the fleet.
bool is_volunteer(state const& membership, step& current);

// The order in which listed nodes are contacted. Random spreads the newcomers
// of a fleet over the listed nodes; a node that has not joined so far finds
// others that have just started by the latest entries of the list.
enum class contact_order
{
    random,
    latest_first
};

// Contacts a few of the listed nodes that are not in the view now, and has the
// others contacted later, those that have been contacted before last.
void contact_unknown_nodes(state& membership,
                           std::vector<std::string> listed,
                           contact_order order,
                           step& current);
// Contacts the next listed nodes if that is due.
void continue_contacting(state& membership, step& current);

// Compares views with the sender of a message if this node knows no other, at
// most once a second. A node that starts without the store has no list of
// contacts, and is known to others by its former process.
void contact_sender(state& membership,
                    std::string const& address,
                    step& current);

// Notes that the node at this address runs, if it is a contact.
void note_contact_answer(state& membership, std::string_view address);

// Returns the number of contacts of the own availability zone that are known to
// run.
std::size_t count_live_contacts(state const& membership);
// Returns true if the listed node was contacted and has not answered in time.
bool is_silent(state const& membership,
               std::string const& address,
               instant now);

} // namespace plantaintally::membership
