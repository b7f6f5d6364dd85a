#include "codec/trace_codec.hpp"

#include "codec/bounded_json.hpp"
#include "codec/internal/decode.hpp"
#include "codec/internal/event_json.hpp"

namespace plantaintally::codec
{

PLANTAINTALLY_JSON(recorded_event, "recorded_event", at, happened)

std::string encode_event(recorded_event const& recorded)
{
    return write_json(write_value(recorded));
}

result<recorded_event> decode_event(std::string_view line)
{
    return decode_value<recorded_event>(parse_json(line), "recorded event");
}

std::string encode_effect(effect const& emitted)
{
    return write_json(write_value(emitted));
}

} // namespace plantaintally::codec
