// Control messages of operators' queries as JSON.
#pragma once

#include "codec/internal/request_json.hpp"
#include "query/messages.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_JSON(
    query::partial_query, "partial_query", query, text, targets, time_left)
PLANTAINTALLY_JSON(query::partial_answer,
                   "partial_answer",
                   query,
                   table,
                   answered_nodes,
                   silent_nodes)

} // namespace plantaintally::codec
