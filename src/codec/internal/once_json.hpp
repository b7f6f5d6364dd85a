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
PLANTAINTALLY_JSON(once::epoch_moved, "epoch_moved", cell, epoch)
PLANTAINTALLY_JSON(once::key_question, "key_question", cell, key, epoch)
PLANTAINTALLY_ENUM(once::key_history,
                   "never-seen",
                   "running",
                   "not-run",
                   "ran",
                   "may-have-run")
PLANTAINTALLY_JSON(once::key_answer, "key_answer", cell, key, epoch, history)

} // namespace plantaintally::codec
