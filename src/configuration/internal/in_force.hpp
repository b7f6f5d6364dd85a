// The document in force and the ways in which it is replaced. Its revision
// never decreases.
#pragma once

#include "configuration/state.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace plantaintally::configuration
{

// Takes a whole document if its revision is higher; true if it was.
bool adopt_document(state& configuration, document content, step& current);

// Takes an accepted change if it follows on the document in force and gives
// the document that its sender has; true if it did.
bool adopt_change(state& configuration,
                  accepted_change const& accepted,
                  step& current);

// The accepted changes that lead from `base_revision` to the document in
// force; empty if they are not remembered.
change_batch changes_since(state const& configuration,
                           std::uint64_t base_revision);

// The platform's service told that no higher revision than this exists.
void note_confirmed(state& configuration,
                    std::uint64_t revision,
                    step& current);

// Another node told so. Takes a confirmation in only if it is newer than the
// last one.
void note_told_confirmed(state& configuration,
                         revision_digest const& digest,
                         step& current);

// The document of a value read from the platform's service, or nothing if it
// can't be read; that is put into the time line.
std::optional<document> read_entry(store_entry const& entry, step& current);

} // namespace plantaintally::configuration
