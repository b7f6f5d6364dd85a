// Control messages of membership as JSON.
#pragma once

#include "codec/internal/base_json.hpp"
#include "membership/messages.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_ENUM(
    membership::member_status, "alive", "draining", "suspected", "gone")
PLANTAINTALLY_JSON(membership::member_record,
                   "member_record",
                   node,
                   service,
                   availability_zone,
                   status,
                   status_version,
                   slots)
PLANTAINTALLY_JSON(membership::heartbeat,
                   "heartbeat",
                   sequence,
                   heard,
                   news,
                   view_hash,
                   configuration_revision,
                   ends_watch)
PLANTAINTALLY_JSON(membership::gossip, "gossip", news, is_repair)
PLANTAINTALLY_JSON(membership::view_digest,
                   "view_digest",
                   bucket_hashes,
                   services,
                   hashes,
                   is_reply)

} // namespace plantaintally::codec
