// The route table and its control messages as JSON.
#pragma once

#include "codec/internal/base_json.hpp"
#include "routes/messages.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_JSON(routes::route_target, "route_target", service, weight)
PLANTAINTALLY_JSON(routes::route_rule,
                   "route_rule",
                   name,
                   host,
                   prefix,
                   is_repeatable,
                   targets,
                   timeout,
                   max_attempts,
                   aim,
                   priority)
PLANTAINTALLY_JSON(routes::caller_limits,
                   "caller_limits",
                   max_header_bytes,
                   max_body_bytes,
                   header_timeout,
                   idle_timeout)
PLANTAINTALLY_JSON(routes::service_entry, "service_entry", name, health_path)
PLANTAINTALLY_JSON(
    routes::route_table, "route_table", version, rules, services, limits)
PLANTAINTALLY_JSON(routes::table_question, "table_question", version)
PLANTAINTALLY_JSON(routes::table_update, "table_update", table)
PLANTAINTALLY_JSON(routes::table_notice, "table_notice", version)

} // namespace plantaintally::codec
