// Calls to the platform's key-value store and their results as JSON.
#pragma once

#include "codec/internal/base_json.hpp"
#include "messages/store_types.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_ENUM(
    store_client, "membership", "configuration", "once", "routes", "departures")
PLANTAINTALLY_JSON(store_get, "store_get", key)
PLANTAINTALLY_JSON(store_compare_and_set,
                   "store_compare_and_set",
                   key,
                   expected_revision,
                   value,
                   lease)
PLANTAINTALLY_JSON(store_watch, "store_watch", key, after_revision, limit)
PLANTAINTALLY_JSON(store_grant_lease, "store_grant_lease", time_to_live)
PLANTAINTALLY_JSON(store_renew_lease, "store_renew_lease", lease)
PLANTAINTALLY_JSON(store_entry, "store_entry", key, value, revision, cursor)
PLANTAINTALLY_JSON(store_missing, "store_missing", cursor)
PLANTAINTALLY_JSON(store_unchanged, "store_unchanged", cursor)
PLANTAINTALLY_JSON_EMPTY(store_history_lost, "store_history_lost")
PLANTAINTALLY_JSON(store_written, "store_written", revision)
PLANTAINTALLY_JSON(store_conflict, "store_conflict", current_revision)
PLANTAINTALLY_JSON(store_lease_held, "store_lease_held", lease, time_to_live)
PLANTAINTALLY_JSON(store_lease_lost, "store_lease_lost", lease)
PLANTAINTALLY_JSON(store_unavailable, "store_unavailable", may_be_done)

} // namespace plantaintally::codec
