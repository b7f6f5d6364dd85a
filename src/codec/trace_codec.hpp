// A recorded stream of reducer events, as JSON lines.
#pragma once

#include "base/moment.hpp"
#include "base/result.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

#include <string>
#include <string_view>

namespace plantaintally::codec
{

// One event of a recording with the time at which it was handed in.
struct recorded_event
{
    moment at;
    event happened;
};

// One line without a line break.
std::string encode_event(recorded_event const& recorded);

// The event of one line, or why there is none.
result<recorded_event> decode_event(std::string_view line);

// An effect as one line of JSON, for comparing and for outcome files.
std::string encode_effect(effect const& asked);

} // namespace plantaintally::codec
