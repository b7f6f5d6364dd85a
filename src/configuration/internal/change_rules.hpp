// Which changes are valid, what they touch, and what they make of a document.
#pragma once

#include "base/result.hpp"
#include "configuration/change.hpp"
#include "configuration/document.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantaintally::configuration
{

// What a change touches; see change_record::object.
std::string object_of(change_body const& body);

// Tells whether every change that the document took in after `base_revision`
// touches another object than `object`. Fails with errc::conflict and the
// first change that doesn't, or if the document remembers too few changes.
result<void> check_commutes(document const& content,
                            std::uint64_t base_revision,
                            std::string_view object);

// The record of the change with this id, or nullptr.
change_record const* find_change(document const& content,
                                 std::string_view change_id);

// The document after the change with the change recorded in it; the new
// record's revision is zero.
result<document> make_successor(document const& content,
                                change const& requested);

// Gives the document its revision, which the newest record lacks as stored.
void set_revision(document& content, std::uint64_t revision);

// Hash that is equal in every process for equal documents.
std::uint64_t hash_document(document const& content);

} // namespace plantaintally::configuration
