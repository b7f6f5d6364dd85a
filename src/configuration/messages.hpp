// Control messages that nodes exchange about the configuration.
#pragma once

#include "base/moment.hpp"
#include "configuration/change.hpp"
#include "configuration/document.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace plantaintally::configuration
{

// Announces the revision in force at the sender. A receiver with a higher
// revision sends the missing changes; one with a lower revision requests them.
struct revision_digest
{
    std::uint64_t revision = 0;
    // The whole document may be sent if the missing changes are not available.
    bool wants_document = false;
    // False while the sender itself does not yet know the highest revision.
    bool is_ready = false;
    // Time since the store last confirmed, to the sender or to a node whose
    // confirmation reached it, that no higher revision exists.
    duration confirmed_age = duration::max();
    // Wall-clock time of that confirmation at the node that received it from
    // the store. Orders confirmations: one that comes back by gossip is not
    // applied again and does not make the age appear lower.
    wall_time confirmed_stamp{};

    bool operator==(revision_digest const&) const = default;
};

// The whole document, sent to a node that is too far behind to catch up with
// single changes.
struct document_update
{
    document content;

    bool operator==(document_update const&) const = default;
};

// An accepted change. Applied to the document at `base_revision`, it yields the
// document at `revision`, whose hash is `content_hash`.
struct accepted_change
{
    std::uint64_t base_revision = 0;
    std::uint64_t revision = 0;
    std::uint64_t content_hash = 0;
    change requested;

    bool operator==(accepted_change const&) const = default;
};

// Accepted changes in order of revision. A receiver whose document is at the
// base of the first one applies them; any other requests what it is missing.
struct change_batch
{
    std::vector<accepted_change> changes;

    bool operator==(change_batch const&) const = default;
};

using message = std::variant<revision_digest, document_update, change_batch>;

} // namespace plantaintally::configuration
