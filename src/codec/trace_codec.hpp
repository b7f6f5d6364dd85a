// Encodes recorded reducer events as JSON lines.
#pragma once

#include "base/moment.hpp"
#include "base/result.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"

#include <string>
#include <string_view>

namespace plantaintally::codec
{

// An event of a recording, with the time at which the reducer received it.
struct recorded_event
{
    moment at;
    event happened;
};

// Encodes an event as one line of JSON, without the line break.
std::string encode_event(recorded_event const& recorded);

// Decodes one line. Error: invalid_input if it is malformed.
result<recorded_event> decode_event(std::string_view line);

// Encodes an effect as one line of JSON, to compare effects and to write them
// to files.
std::string encode_effect(effect const& emitted);

} // namespace plantaintally::codec
