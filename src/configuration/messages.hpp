// Control messages of configuration.
#pragma once

#include "configuration/document.hpp"

#include <cstdint>
#include <variant>

namespace plantaintally::configuration
{

// Tells the receiver which revision the sender has in force; a receiver with a
// higher one sends it, a receiver with a lower one asks for it.
struct revision_digest
{
    std::uint64_t revision = 0;
    bool wants_document = false;

    bool operator==(revision_digest const&) const = default;
};

// The whole document, sent to a node whose revision is lower.
struct document_update
{
    document content;

    bool operator==(document_update const&) const = default;
};

using message = std::variant<revision_digest, document_update>;

} // namespace plantaintally::configuration
