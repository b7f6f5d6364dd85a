// The operators' configuration and its control messages as JSON.
#pragma once

#include "codec/internal/base_json.hpp"
#include "configuration/messages.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_JSON(configuration::rank_definition,
                   "rank_definition",
                   name,
                   urgency,
                   worth,
                   attempt_budget,
                   deadline,
                   is_protected)
PLANTAINTALLY_JSON(configuration::match_rule,
                   "match_rule",
                   name,
                   service,
                   method,
                   path_prefix,
                   rank)
PLANTAINTALLY_JSON(
    configuration::change_record, "change_record", change_id, revision, text)
PLANTAINTALLY_JSON(configuration::document,
                   "document",
                   revision,
                   ranks,
                   rules,
                   drained_nodes,
                   changes)
PLANTAINTALLY_JSON(configuration::revision_digest,
                   "revision_digest",
                   revision,
                   wants_document)
PLANTAINTALLY_JSON(configuration::document_update, "document_update", content)

} // namespace plantaintally::codec
