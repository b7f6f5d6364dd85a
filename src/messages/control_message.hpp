// The control messages that nodes exchange, grouped by the subsystem that
// defines them.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "configuration/messages.hpp"
#include "membership/messages.hpp"
#include "once/messages.hpp"
#include "query/messages.hpp"
#include "routes/messages.hpp"

#include <variant>

namespace plantaintally
{

using control_message = std::variant<membership::message,
                                     configuration::message,
                                     once::message,
                                     query::message,
                                     routes::message>;

// A control message with its sender, as sent over the peer link. Messages may
// be lost or delivered more than once; every subsystem tolerates both.
struct control_envelope
{
    node_id sender;
    hybrid_time sent_at;
    control_message message;
};

} // namespace plantaintally
