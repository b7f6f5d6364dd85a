// Control messages of configuration.
#pragma once

#include "base/moment.hpp"
#include "configuration/change.hpp"
#include "configuration/document.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace plantaintally::configuration
{

// Tells the receiver which revision the sender has in force; a receiver with a
// higher one sends what is missing, a receiver with a lower one asks for it.
struct revision_digest
{
    std::uint64_t revision = 0;
    bool wants_document = false;
    // False while the sender itself does not yet know the highest revision.
    bool is_ready = false;
    // Time since the sender, or somebody it heard of, last read from the
    // platform's service that no higher revision exists.
    duration confirmed_age = duration::max();
    // The wall clock of the node that read it, at that reading. Orders
    // confirmations, so that none is taken in twice and grows younger.
    wall_time confirmed_stamp{};

    bool operator==(revision_digest const&) const = default;
};

// The whole document, sent to a node that can't be helped with single changes.
struct document_update
{
    document content;

    bool operator==(document_update const&) const = default;
};

// One accepted change: applied to the document of `base_revision` it gives the
// document of `revision`, whose hash is `content_hash`.
struct accepted_change
{
    std::uint64_t base_revision = 0;
    std::uint64_t revision = 0;
    std::uint64_t content_hash = 0;
    change requested;

    bool operator==(accepted_change const&) const = default;
};

// Accepted changes in order of revision. A receiver that has the base of the
// first applies them; another one asks for the document.
struct change_batch
{
    std::vector<accepted_change> changes;

    bool operator==(change_batch const&) const = default;
};

using message = std::variant<revision_digest, document_update, change_batch>;

} // namespace plantaintally::configuration
