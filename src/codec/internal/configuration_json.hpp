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

// Rules and change records make up most of the document, which is stored as a
// whole with each change. To keep it small, they are encoded as arrays of their
// fields in order. Additional elements are ignored and missing ones keep their
// defaults.
template <>
struct value_codec<configuration::match_rule>
{
    static json write(configuration::match_rule const& source)
    {
        return json::array({source.name,
                            source.service,
                            source.method,
                            source.path_prefix,
                            source.rank});
    }

    static void read(json const& source, configuration::match_rule& target)
    {
        require_array(source);
        read_element(source, 0, target.name);
        read_element(source, 1, target.service);
        read_element(source, 2, target.method);
        read_element(source, 3, target.path_prefix);
        read_element(source, 4, target.rank);
    }
};

template <>
struct value_codec<configuration::change_record>
{
    static json write(configuration::change_record const& source)
    {
        return json::array(
            {source.change_id, source.revision, source.object, source.text});
    }

    static void read(json const& source, configuration::change_record& target)
    {
        require_array(source);
        read_element(source, 0, target.change_id);
        read_element(source, 1, target.revision);
        read_element(source, 2, target.object);
        read_element(source, 3, target.text);
    }
};

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
