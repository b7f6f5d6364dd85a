// Control messages of the at-most-once protocol as JSON.
#pragma once

#include "codec/internal/base_json.hpp"
#include "once/messages.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_JSON(once::vouch_request, "vouch_request", cell, epoch, asked_at)
PLANTAINTALLY_JSON(once::vouch_reply,
                   "vouch_reply",
                   cell,
                   epoch,
                   asked_at,
                   is_vouched,
                   newest_epoch)
PLANTAINTALLY_JSON(once::epoch_question, "epoch_question", cell, known_revision)
PLANTAINTALLY_JSON(once::epoch_news, "epoch_news", cell, revision, document)
PLANTAINTALLY_JSON(
    once::key_question, "key_question", cell, key, epoch, newest_epoch)
PLANTAINTALLY_ENUM(once::key_history,
                   "never-seen",
                   "running",
                   "not-run",
                   "ran",
                   "may-have-run")
PLANTAINTALLY_JSON(once::key_answer,
                   "key_answer",
                   cell,
                   key,
                   epoch,
                   history,
                   is_complete,
                   newest_epoch)
PLANTAINTALLY_JSON(once::key_transfer,
                   "key_transfer",
                   cell,
                   epoch,
                   part,
                   parts,
                   known_since,
                   keys)
PLANTAINTALLY_JSON(
    once::key_transfer_received, "key_transfer_received", cell, epoch, part)

} // namespace plantaintally::codec
