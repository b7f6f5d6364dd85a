// Replacing the document in force, and tracking when the store last confirmed
// it as the newest. The revision in force never decreases.
#pragma once

#include "configuration/state.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace plantaintally::configuration
{

// Puts a whole document in force if its revision is higher; returns whether it
// was.
bool adopt_document(state& configuration, document content, step& current);

// Applies an accepted change to the document in force. Returns false, without
// effect, if the change has another base revision, is not valid here, or
// yields a document whose hash differs from the sender's.
bool adopt_change(state& configuration,
                  accepted_change const& accepted,
                  step& current);

// The accepted changes that lead from `base_revision` to the document in
// force; empty if this node no longer has all of them.
change_batch changes_since(state const& configuration,
                           std::uint64_t base_revision);

// Records the store's confirmation that `revision` is the newest, if it is the
// one in force.
void note_store_confirmation(state& configuration,
                             std::uint64_t revision,
                             step& current);

// Records the confirmation that a peer passed on in its digest, if it is for
// the revision in force and newer than the last one recorded.
void note_peer_confirmation(state& configuration,
                            revision_digest const& digest,
                            step& current);

// Decodes the document of a store entry. If that fails, records
// "unreadable-document" in the time line and returns nothing.
std::optional<document> decode_entry(store_entry const& entry, step& current);

} // namespace plantaintally::configuration
