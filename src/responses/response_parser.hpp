// Parser of HTTP responses for every client of the programs. The library's
// parser accepts responses that no client may use; this one fails with an error
// of the library instead, as for any other malformed response.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace plantaintally::responses
{

// Refuses a status outside of the classes 1xx to 5xx (RFC 9110, section 15) and
// a field line that continues on the next one (RFC 9112, section 5.2): what was
// sent as a field of its own would become a part of the value before it. Drops
// trailers, which are no headers (RFC 9110, section 6.5.1).
class response_parser : public boost::beast::http::response_parser<
                            boost::beast::http::string_body>
{
private:
    using error_code = boost::system::error_code;

    void on_field_impl(boost::beast::http::field name,
                       boost::beast::string_view name_text,
                       boost::beast::string_view value,
                       error_code& ec) override;
    void on_header_impl(error_code& ec) override;
};

} // namespace plantaintally::responses
