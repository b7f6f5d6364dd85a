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
PLANTAINTALLY_JSON(configuration::change_record,
                   "change_record",
                   change_id,
                   revision,
                   text,
                   object)
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
                   wants_document,
                   is_ready,
                   confirmed_age,
                   confirmed_stamp)
PLANTAINTALLY_JSON(configuration::document_update, "document_update", content)
PLANTAINTALLY_JSON(configuration::create_rank, "create_rank", rank)
PLANTAINTALLY_JSON(configuration::alter_rank,
                   "alter_rank",
                   name,
                   urgency,
                   worth,
                   attempt_budget,
                   deadline,
                   is_protected)
PLANTAINTALLY_JSON(configuration::remove_rank, "remove_rank", name)
PLANTAINTALLY_JSON(configuration::create_rule, "create_rule", rule)
PLANTAINTALLY_JSON(configuration::remove_rule, "remove_rule", name)
PLANTAINTALLY_JSON(configuration::drain_node, "drain_node", address)
PLANTAINTALLY_JSON(configuration::undrain_node, "undrain_node", address)
PLANTAINTALLY_JSON(
    configuration::change, "change", change_id, expected_revision, text, body)
PLANTAINTALLY_JSON(configuration::accepted_change,
                   "accepted_change",
                   base_revision,
                   revision,
                   content_hash,
                   requested)
PLANTAINTALLY_JSON(configuration::change_batch, "change_batch", changes)

} // namespace plantaintally::codec
