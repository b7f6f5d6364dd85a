// Parses what has been received already, without another read operation.
#pragma once

#include "drivers/http.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace plantaintally::drivers
{

// Passes the buffered bytes to an eager parser and removes those that it has
// taken. Most messages arrive in one piece; parsing them here saves the event
// loop a turn for the header and another for the body. Returns no error if the
// message is incomplete.
template <class Parser>
error_code parse_buffered(boost::beast::flat_buffer& buffer, Parser& source)
{
    error_code ec;
    while (buffer.size() > 0 && !source.is_done())
    {
        auto const used = source.put(buffer.data(), ec);
        buffer.consume(used);
        if (ec || used == 0)
        {
            break;
        }
    }
    if (ec == boost::beast::http::error::need_more)
    {
        return {};
    }
    return ec;
}

} // namespace plantaintally::drivers
