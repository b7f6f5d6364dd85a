// Turning a parsed value into a typed one, with errors as results.
#pragma once

#include "base/result.hpp"
#include "codec/internal/base_json.hpp"

#include <string>

namespace plantaintally::codec
{

// The typed value of `parsed`, or why it has none. `what` names the input in
// the message.
template <class T>
result<T> decode_value(result<json> const& parsed, std::string const& what)
{
    if (!parsed)
    {
        return fail(errc::invalid_input, what + ": " + parsed.error().message);
    }
    try
    {
        T value;
        read_value(parsed.value(), value);
        return value;
    }
    catch (std::exception const& cause)
    {
        return fail(errc::invalid_input, what + ": " + cause.what());
    }
}

} // namespace plantaintally::codec
