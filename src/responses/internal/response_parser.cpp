#include "responses/response_parser.hpp"

#include <boost/beast/http/error.hpp>

namespace plantaintally::responses
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;

// Returns true if the field's line continues on the next one. The library then
// passes a value that doesn't stand behind the name's colon: a copy of the
// joined parts, or the only part that is not empty.
bool is_continued(beast::string_view name, beast::string_view value)
{
    constexpr char colon = ':';
    char const* position = name.data() + name.size();
    if (*position != colon)
    {
        return true;
    }
    ++position;
    while (*position == ' ' || *position == '\t')
    {
        ++position;
    }
    return position != value.data();
}

} // namespace

void response_parser::on_field_impl(http::field name,
                                    beast::string_view name_text,
                                    beast::string_view value,
                                    error_code& ec)
{
    if (is_continued(name_text, value))
    {
        ec = http::error::bad_field;
        return;
    }
    bool const is_trailer = this->is_header_done();
    if (!is_trailer)
    {
        this->get().insert(name, name_text, value);
    }
}

void response_parser::on_header_impl(error_code& ec)
{
    auto const status = this->get().result_int();
    if (status < first_status || status > last_status)
    {
        ec = http::error::bad_status;
    }
}

} // namespace plantaintally::responses
