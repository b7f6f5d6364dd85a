// Control messages of all modules as JSON.
#pragma once

#include "codec/internal/configuration_json.hpp"
#include "codec/internal/membership_json.hpp"
#include "codec/internal/once_json.hpp"
#include "codec/internal/query_json.hpp"
#include "codec/internal/routes_json.hpp"
#include "messages/control_message.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_JSON(
    control_envelope, "control_envelope", sender, sent_at, message)

} // namespace plantaintally::codec
