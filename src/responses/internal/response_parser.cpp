#include "responses/response_parser.hpp"

#include <boost/beast/http/error.hpp>

namespace plantaintally::responses
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;

} // namespace

void response_parser::on_header_impl(error_code& ec)
{
    auto const status = this->get().result_int();
    if (status < first_status || status > last_status)
    {
        ec = http::error::bad_status;
    }
}

} // namespace plantaintally::responses
