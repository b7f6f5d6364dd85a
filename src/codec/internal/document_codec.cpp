#include "codec/document_codec.hpp"

#include "codec/bounded_json.hpp"
#include "codec/internal/configuration_json.hpp"
#include "codec/internal/decode.hpp"

namespace plantaintally::codec
{

std::string encode_document(configuration::document const& content)
{
    return write_json(write_value(content));
}

result<configuration::document> decode_document(std::string_view text)
{
    return decode_value<configuration::document>(parse_json(text),
                                                 "configuration document");
}

} // namespace plantaintally::codec
