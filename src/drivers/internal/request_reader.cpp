#include "drivers/internal/request_reader.hpp"

#include "drivers/internal/arrival.hpp"
#include "drivers/internal/read_piece.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

namespace http = boost::beast::http;

// Keeps the headers apart from the trailers, which the library adds to them.
class parser : public http::request_parser<http::string_body>
{
public:
    std::vector<header_field> headers;

private:
    void on_header_impl(error_code& ec) override
    {
        for (auto const& field : this->get())
        {
            this->headers.push_back(
                {std::string(field.name_string()), std::string(field.value())});
        }
        ec = {};
    }
};

// Buffer space for the part of a body that is read together with the headers.
constexpr std::size_t body_buffer_bytes = 64U << 10U;

read_failure classify(error_code ec, bool is_header)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    {
        return read_failure::header_too_large;
    }
    if (ec == http::error::body_limit)
    {
        return read_failure::body_too_large;
    }
    if (ec == http::error::end_of_stream)
    {
        return read_failure::closed;
    }
    bool const is_protocol_error =
        ec.category() ==
        http::make_error_code(http::error::bad_method).category();
    if (ec == http::error::partial_message || !is_protocol_error)
    {
        return is_header ? read_failure::closed : read_failure::incomplete;
    }
    return read_failure::malformed;
}

incoming_request to_incoming_request(parser& source)
{
    bool const is_keep_alive = source.keep_alive();
    auto message = source.release();
    incoming_request request{std::string(message.method_string()),
                             std::string(message.target()),
                             std::move(source.headers),
                             std::move(message.body()),
                             is_keep_alive,
                             {}};
    use_origin_form(request);
    return request;
}

// Bytes that the whole body will have, or those received if that is unknown.
std::uint64_t known_body_bytes(parser const& source)
{
    return std::max<std::uint64_t>(source.content_length().value_or(0),
                                   source.get().body().size());
}

incoming_request copy_head(parser const& source)
{
    auto const& message = source.get();
    incoming_request head{std::string(message.method_string()),
                          std::string(message.target()),
                          source.headers,
                          {},
                          false};
    use_origin_form(head);
    return head;
}

// Removes the empty lines before a request line (RFC 9112, section 2.2).
// Returns true if a byte of the request is left.
bool skip_empty_lines(boost::beast::flat_buffer& buffer)
{
    constexpr std::string_view line_end = "\r\n";
    auto const text = [&]
    {
        auto const data = buffer.data();
        return std::string_view(static_cast<char const*>(data.data()),
                                data.size());
    };
    while (text().starts_with(line_end))
    {
        buffer.consume(line_end.size());
    }
    return !line_end.starts_with(text());
}

bool expects_continue(parser const& head)
{
    auto const expectation = head.get()[http::field::expect];
    return boost::beast::iequals(expectation, "100-continue");
}

bool is_over_limit(read_failure failure)
{
    return failure == read_failure::header_too_large ||
           failure == read_failure::body_too_large;
}

} // namespace

std::string_view to_string(read_failure failure)
{
    switch (failure)
    {
    case read_failure::closed:
        return "closed";
    case read_failure::idle:
        return "idle";
    case read_failure::incomplete:
        return "incomplete";
    case read_failure::malformed:
        return "malformed";
    case read_failure::header_too_large:
        return "header-too-large";
    case read_failure::body_too_large:
        return "body-too-large";
    case read_failure::header_too_slow:
        return "header-too-slow";
    case read_failure::body_too_slow:
        return "body-too-slow";
    case read_failure::no_room_for_body:
        return "no-room-for-body";
    case read_failure::limits_unknown:
        return "limits-unknown";
    }
    return "malformed";
}

request_reader::request_reader(accepted_connection& source,
                               read_limits const& bounds,
                               std::function<void()> on_continue_due)
    : connection(source), guard(source.read_guard()), limits(bounds),
      buffer(bounds.max_header_bytes + body_buffer_bytes),
      report_continue_due(std::move(on_continue_due))
{
}

asio::awaitable<read_result> request_reader::read(bool is_idle_limited)
{
    this->is_between_requests = !skip_empty_lines(this->buffer);
    if (this->is_between_requests)
    {
        this->guard.disarm();
        if (is_idle_limited)
        {
            this->limit_idle();
        }
    }
    while (this->is_between_requests)
    {
        error_code ec;
        this->byte_count +=
            co_await receive_piece(this->connection, this->buffer, ec);
        if (!this->can_read(ec))
        {
            co_return this->guard.is_expired() ? read_failure::idle
                                               : read_failure::closed;
        }
        this->is_between_requests = !skip_empty_lines(this->buffer);
        if (this->is_between_requests && this->guard.is_expired())
        {
            co_return read_failure::idle;
        }
    }
    bool const is_provisional = this->limits.is_provisional;
    auto message = co_await this->read_message();
    this->guard.disarm();
    auto const* const failure = std::get_if<read_failure>(&message);
    if (is_provisional && failure != nullptr && is_over_limit(*failure))
    {
        co_return read_failure::limits_unknown;
    }
    co_return message;
}

void request_reader::limit_idle()
{
    if (this->is_between_requests)
    {
        this->guard.arm(this->limits.idle_timeout);
    }
}

void request_reader::stop()
{
    this->is_stopped = true;
    this->connection.cancel();
}

bool request_reader::take_due_continue()
{
    return std::exchange(this->is_continue_due, false);
}

void request_reader::handle_continue_written()
{
    // What was written may belong to the request before this one.
    if (!this->is_continue_due)
    {
        this->limit_body();
    }
}

void request_reader::limit_body()
{
    if (std::exchange(this->is_body_time_held, false))
    {
        this->guard.arm(this->limits.body_timeout);
    }
}

bool request_reader::can_read(error_code& ec) const
{
    if (this->is_stopped)
    {
        ec = asio::error::operation_aborted;
    }
    return !ec;
}

asio::awaitable<read_result> request_reader::read_message()
{
    // The limit may have grown since the connection was opened.
    this->buffer.max_size(
        std::max(this->buffer.max_size(),
                 this->limits.max_header_bytes + body_buffer_bytes));
    parser source;
    source.header_limit(this->limits.max_header_bytes);
    source.body_limit(this->limits.max_body_bytes);
    source.eager(true);
    auto ec = parse_buffered(this->buffer, source);
    this->guard.arm(this->limits.header_timeout);
    while (!source.is_header_done() && this->can_read(ec))
    {
        this->byte_count += co_await read_piece(
            this->connection, this->guard, this->buffer, source, ec);
    }
    if (ec && !source.is_header_done())
    {
        co_return this->guard.is_expired() ? read_failure::header_too_slow
                                           : classify(ec, true);
    }
    admission::body_hold hold = this->limits.bodies == nullptr
                                    ? admission::body_hold()
                                    : admission::body_hold(this->limits.bodies);
    if (!ec && !hold.grow_to(known_body_bytes(source)))
    {
        this->refused_request = copy_head(source);
        co_return read_failure::no_room_for_body;
    }
    this->guard.arm(this->limits.body_timeout);
    if (!ec && !source.is_done())
    {
        if (expects_continue(source))
        {
            this->is_continue_due = true;
            this->is_body_time_held = source.get().body().empty();
            this->report_continue_due();
        }
        if (this->is_body_time_held)
        {
            this->guard.disarm();
        }
        ec = co_await this->read_body(source, hold);
        this->is_continue_due = false;
        this->is_body_time_held = false;
    }
    if (ec == boost::system::errc::not_enough_memory)
    {
        this->refused_request = copy_head(source);
        co_return read_failure::no_room_for_body;
    }
    if (ec)
    {
        co_return this->guard.is_expired() ? read_failure::body_too_slow
                                           : classify(ec, false);
    }
    auto request = to_incoming_request(source);
    request.hold = std::move(hold);
    co_return request;
}

template <class Parser>
asio::awaitable<error_code>
request_reader::read_body(Parser& source, admission::body_hold& hold)
{
    error_code ec;
    while (!source.is_done() && this->can_read(ec))
    {
        this->byte_count += co_await read_piece(
            this->connection, this->guard, this->buffer, source, ec);
        this->limit_body();
        if (!ec && !hold.grow_to(known_body_bytes(source)))
        {
            ec = make_error_code(boost::system::errc::not_enough_memory);
        }
    }
    co_return ec;
}

incoming_request const& request_reader::refused_head() const
{
    return this->refused_request;
}

bool request_reader::is_idle() const
{
    return this->is_between_requests;
}

std::uint64_t request_reader::consume_byte_count()
{
    return std::exchange(this->byte_count, 0);
}

} // namespace plantaintally::drivers
