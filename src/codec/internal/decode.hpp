// Decodes a parsed JSON value and returns errors as results.
#pragma once

#include "base/result.hpp"
#include "codec/internal/base_json.hpp"

#include <string>

namespace plantaintally::codec
{

// Decodes a parsed JSON value as a T. Error: invalid_input if parsing or
// decoding failed. `input_name` names the input in the error message.
template <class T>
result<T> decode_value(result<json> const& parsed,
                       std::string const& input_name)
{
    if (!parsed)
    {
        return fail(errc::invalid_input,
                    input_name + ": " + parsed.error().message);
    }
    try
    {
        T value;
        read_value(parsed.value(), value);
        return value;
    }
    catch (std::exception const& cause)
    {
        return fail(errc::invalid_input, input_name + ": " + cause.what());
    }
}

} // namespace plantaintally::codec
