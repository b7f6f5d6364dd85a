// Validation of changes, conflict detection, and applying changes to a
// document.
#pragma once

#include "base/result.hpp"
#include "configuration/change.hpp"
#include "configuration/document.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantaintally::configuration
{

// The object that a change affects; see change_record::object.
std::string object_of(change_body const& body);

// Succeeds if no change accepted after `base_revision` affects `object`. Fails
// with errc::conflict, naming the first change that does, or if the document
// no longer has the records of all changes since then.
result<void> check_commutes(document const& content,
                            std::uint64_t base_revision,
                            std::string_view object);

// The record of the change with this id, or nullptr.
change_record const* find_change(document const& content,
                                 std::string_view change_id);

// Applies the change to a copy of the document and adds its record, with
// revision zero. Fails with errc::invalid_input if the change is not valid.
result<document> make_successor(document const& content,
                                change const& requested);

// Sets the revision of the document, and of its newest record if that still
// has revision zero.
void set_revision(document& content, std::uint64_t revision);

// A hash of the document that is the same in every process.
std::uint64_t hash_document(document const& content);

} // namespace plantaintally::configuration
