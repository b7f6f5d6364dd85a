#include "drivers/internal/http_client.hpp"

#include "drivers/dialect.hpp"
#include "drivers/internal/read_piece.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

namespace http = boost::beast::http;
using responses::response_parser;
using request_message = http::request<http::span_body<char const>>;

constexpr unsigned http_version_1_1 = 11;
constexpr unsigned first_final_status = 200;
constexpr unsigned first_error_status = 400;
// Interim (1xx) responses that may precede a response.
constexpr std::size_t max_interim_answers = 16;

request_message to_message(outgoing_request const& request)
{
    request_message message;
    message.version(http_version_1_1);
    message.method_string(request.method);
    message.target(request.target);
    for (auto const& header : request.headers)
    {
        message.insert(header.name, header.value);
    }
    if (request.body != nullptr)
    {
        message.body() = boost::beast::span<char const>(request.body->data(),
                                                        request.body->size());
    }
    message.prepare_payload();
    return message;
}

attempt_failure to_attempt_failure(connect_failure failure)
{
    switch (failure)
    {
    case connect_failure::refused:
        return attempt_failure::connect_refused;
    case connect_failure::limit:
        return attempt_failure::connection_limit;
    case connect_failure::timed_out:
        return attempt_failure::timed_out;
    }
    return attempt_failure::connect_refused;
}

// Classifies the error that interrupted reading a response.
attempt_failure classify(error_code ec, bool has_begun)
{
    if (ec == http::error::end_of_stream)
    {
        return attempt_failure::closed_after_write;
    }
    bool const is_protocol_error =
        ec.category() ==
        http::make_error_code(http::error::bad_method).category();
    if (ec == http::error::partial_message || !is_protocol_error)
    {
        return has_begun ? attempt_failure::incomplete_answer
                         : attempt_failure::closed_after_write;
    }
    return attempt_failure::malformed_answer;
}

// Returns true if the connection has proved silent: `ec` is the error that
// interrupted reading a response.
bool is_silent(pooled_connection const& connection,
               error_code ec,
               bool has_received)
{
    return connection.guard.is_expired() ? !has_received
                                         : ec == asio::error::timed_out;
}

// Returns the failure of a call; cancellation and timeout take precedence over
// `otherwise`.
call_failure classify_failure(call_control const& control,
                              pooled_connection const& connection,
                              attempt_failure otherwise,
                              bool is_written)
{
    if (control.is_cancelled())
    {
        return {attempt_failure::cancelled, is_written};
    }
    if (connection.guard.is_expired())
    {
        return {attempt_failure::timed_out, is_written};
    }
    return {otherwise, is_written};
}

answer to_answer(response_parser& source, bool is_head)
{
    auto message = source.release();
    answer full_answer{message.result_int(), {}, std::move(message.body()), {}};
    for (auto const& field : message)
    {
        full_answer.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    if (is_head && source.content_length())
    {
        full_answer.declared_content_length = *source.content_length();
    }
    return full_answer;
}

// Bytes that a response's body takes up while it is read. The space for a
// declared body is reserved at once and used as it fills. Any other body is
// copied to a larger space as it grows.
std::size_t memory_of(response_parser const& source)
{
    auto const& body = source.get().body();
    return source.content_length() ? body.size()
                                   : body.size() + body.capacity();
}

// A request that is being written; the write operation shares its ownership.
struct pending_write
{
    pending_write(asio::any_io_executor const& executor,
                  request_message content,
                  std::shared_ptr<std::string const> shared_body)
        : message(std::move(content)), body(std::move(shared_body)),
          completed(executor, asio::steady_timer::time_point::max())
    {
    }

    request_message message;
    std::shared_ptr<std::string const> body;
    bool is_done = false;
    error_code ec;
    std::size_t written = 0;
    // Cancelled when the write operation has completed.
    asio::steady_timer completed;
};

// Aborts the write by closing the socket, and waits until the write operation
// no longer uses the socket.
asio::awaitable<void> abort_write(tcp::socket& socket, pending_write& sent)
{
    error_code ignored;
    socket.close(ignored);
    while (!sent.is_done)
    {
        co_await sent.completed.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

// Returns true if the write met a reset or another failure of the connection.
// The kernel reports such a failure once; if the write has taken the report, a
// read finds the end of the connection instead. A broken pipe is no such
// failure: the other side had ended its sending direction before. Neither is
// the end that abort_write() makes.
bool has_broken_connection(pending_write const& sent)
{
    return sent.ec && sent.ec != asio::error::operation_aborted &&
           sent.ec != asio::error::bad_descriptor &&
           sent.ec != asio::error::broken_pipe;
}

enum class answer_match
{
    // The response names the request, or none is expected to.
    matching,
    // The response names another request.
    other,
    unnamed
};

answer_match match(answer const& full_answer, outgoing_request const& request)
{
    header_field const& expected = request.expected_answer_header;
    if (expected.name.empty())
    {
        return answer_match::matching;
    }
    auto const found = find_header(full_answer.headers, expected.name);
    if (found.empty())
    {
        return answer_match::unnamed;
    }
    return found == expected.value ? answer_match::matching
                                   : answer_match::other;
}

// Discards a leased connection unless it was given back.
class lease_guard
{
public:
    lease_guard(connection_pool& from, connection_id leased)
        : pool(from), id(leased)
    {
    }

    ~lease_guard()
    {
        if (!this->is_given_back)
        {
            this->pool.discard(this->id);
        }
    }

    lease_guard(lease_guard const&) = delete;
    lease_guard& operator=(lease_guard const&) = delete;

    void give_back()
    {
        this->is_given_back = true;
        this->pool.give_back(this->id);
    }

private:
    connection_pool& pool;
    connection_id id;
    bool is_given_back = false;
};

} // namespace

void call_control::cancel()
{
    this->is_cancel_requested = true;
    if (this->socket != nullptr)
    {
        error_code ignored;
        this->socket->close(ignored);
    }
}

bool call_control::is_cancelled() const
{
    return this->is_cancel_requested;
}

http_client::http_client(connection_pool& connections, limits bounds)
    : pool(connections), config(std::move(bounds))
{
}

asio::awaitable<call_result> http_client::call(std::string address,
                                               outgoing_request request,
                                               duration timeout,
                                               call_control& control)
{
    using clock = std::chrono::steady_clock;
    auto const deadline = clock::now() + timeout;
    auto const leased = co_await this->pool.lease(
        std::move(address), timeout, request.expected_answer_header.value);
    if (auto const* const failure = std::get_if<connect_failure>(&leased))
    {
        co_return call_failure{control.is_cancelled()
                                   ? attempt_failure::cancelled
                                   : to_attempt_failure(*failure),
                               false};
    }
    auto const id = std::get<connection_id>(leased);
    lease_guard lease(this->pool, id);
    auto const time_left =
        std::chrono::duration_cast<duration>(deadline - clock::now());
    if (control.is_cancelled() || time_left <= duration::zero())
    {
        lease.give_back();
        co_return call_failure{control.is_cancelled()
                                   ? attempt_failure::cancelled
                                   : attempt_failure::timed_out,
                               false};
    }
    auto& connection = this->pool.at(id);
    auto const sent_at = clock::now();
    connection.guard.arm(time_left);
    control.socket = &connection.socket;
    bool is_reusable = false;
    auto result =
        co_await this->exchange(connection, request, control, is_reusable);
    control.socket = nullptr;
    auto const* const failure = std::get_if<call_failure>(&result);
    if (failure != nullptr && failure->is_silent)
    {
        // A worker that is merely slow also misses the deadline; connections
        // that have carried a response since then are kept in that case.
        this->pool.discard_idle(connection.address,
                                connection.guard.is_expired() ? sent_at
                                                              : clock::now());
    }
    auto const* const full_answer = std::get_if<answer>(&result);
    auto const& request_id = request.expected_answer_header.value;
    if (is_reusable && !request_id.empty() && full_answer != nullptr &&
        full_answer->status >= first_error_status)
    {
        is_reusable = this->pool.note_failed_request(id, request_id);
    }
    if (is_reusable && connection.buffer.size() == 0 && !control.is_cancelled())
    {
        lease.give_back();
    }
    co_return result;
}

asio::awaitable<call_result>
http_client::exchange(pooled_connection& connection,
                      outgoing_request const& request,
                      call_control& control,
                      bool& is_reusable)
{
    // The response is read while the request is still being written: an
    // upstream may respond, and stop reading, before it has received the whole
    // body.
    auto const sent = std::make_shared<pending_write>(
        connection.socket.get_executor(), to_message(request), request.body);
    http::async_write(connection.socket,
                      sent->message,
                      [sent](error_code ec, std::size_t count)
                      {
                          sent->is_done = true;
                          sent->ec = ec;
                          sent->written = count;
                          sent->completed.cancel();
                      });
    framing framed;
    auto result =
        co_await this->read_answer(connection, request, control, framed);
    bool const is_write_done = sent->is_done;
    if (!is_write_done)
    {
        co_await abort_write(connection.socket, *sent);
    }
    is_reusable = framed.is_reusable && is_write_done && !sent->ec;
    auto* const failure = std::get_if<call_failure>(&result);
    if (failure == nullptr)
    {
        if (framed.is_close_delimited && has_broken_connection(*sent))
        {
            co_return call_failure{attempt_failure::incomplete_answer, true};
        }
        co_return result;
    }
    // The kernel reports its time-out once, to either direction.
    failure->is_silent =
        failure->is_silent || sent->ec == asio::error::timed_out;
    bool const was_never_written =
        is_write_done && sent->ec && sent->written == 0;
    if (was_never_written &&
        failure->failure == attempt_failure::closed_after_write)
    {
        failure->failure = attempt_failure::closed_before_write;
        failure->is_written = false;
    }
    co_return result;
}

asio::awaitable<call_result>
http_client::read_answer(pooled_connection& connection,
                         outgoing_request const& request,
                         call_control& control,
                         framing& framed)
{
    bool const is_head = request.method == "HEAD";
    bool has_skipped_late_answer = false;
    while (true)
    {
        framing read;
        auto result =
            co_await this->read_next_answer(connection, is_head, control, read);
        if (auto* const failure = std::get_if<call_failure>(&result);
            failure != nullptr && has_skipped_late_answer &&
            connection.guard.is_expired())
        {
            failure->is_silent = false;
        }
        auto const* const full_answer = std::get_if<answer>(&result);
        auto const matched = full_answer == nullptr
                                 ? answer_match::matching
                                 : match(*full_answer, request);
        if (matched == answer_match::unnamed)
        {
            co_return call_failure{attempt_failure::malformed_answer, true};
        }
        if (matched != answer_match::other)
        {
            framed = read;
            framed.is_reusable = read.is_reusable && !has_skipped_late_answer;
            co_return result;
        }
        if (!read.is_reusable)
        {
            co_return call_failure{attempt_failure::closed_after_write, true};
        }
        // A late response to an earlier request on this connection.
        has_skipped_late_answer = true;
    }
}

asio::awaitable<call_result>
http_client::read_next_answer(pooled_connection& connection,
                              bool is_head,
                              call_control& control,
                              framing& framed)
{
    std::optional<response_parser> source;
    error_code ec;
    std::size_t interim_answers = 0;
    bool is_interim = true;
    while (!ec && is_interim)
    {
        source.emplace();
        source->header_limit(this->config.max_header_bytes);
        source->body_limit(this->config.max_answer_bytes);
        source->skip(is_head);
        source->eager(true);
        if (connection.buffer.size() == 0)
        {
            co_await receive_piece(connection.socket, connection.buffer, ec);
        }
        ec = ec ? ec : parse_buffered(connection.buffer, *source);
        while (!ec && !source->is_header_done())
        {
            co_await read_piece(connection.socket,
                                connection.guard,
                                connection.buffer,
                                *source,
                                ec);
        }
        is_interim = !ec && source->get().result_int() < first_final_status;
        if (is_interim && ++interim_answers > max_interim_answers)
        {
            co_return call_failure{attempt_failure::malformed_answer, true};
        }
    }
    bool const has_begun = source->got_some();
    // A response delimited only by the end of the connection can't be told from
    // a truncated one, so it is accepted only where the upstream is known to
    // send such responses.
    bool const is_delimited = ec || is_head || !source->need_eof() ||
                              source->is_done() ||
                              this->config.allows_close_delimited;
    if (!ec && !is_delimited)
    {
        co_return call_failure{attempt_failure::incomplete_answer, true};
    }
    if (!ec && !source->is_done())
    {
        ec = co_await this->read_body(connection, *source);
    }
    if (ec)
    {
        auto failure = classify_failure(
            control, connection, classify(ec, has_begun), true);
        failure.is_silent =
            is_silent(connection, ec, has_begun || interim_answers > 0);
        co_return failure;
    }
    framed = {source->keep_alive(), source->need_eof()};
    co_return to_answer(*source, is_head);
}

asio::awaitable<error_code>
http_client::read_body(pooled_connection& connection, response_parser& source)
{
    auto const break_off = [&connection]
    {
        error_code ignored;
        connection.socket.close(ignored);
    };
    admission::answer_reading reading(
        this->config.answers, connection.address, break_off);
    error_code ec;
    while (!ec && !source.is_done())
    {
        co_await read_piece(
            connection.socket, connection.guard, connection.buffer, source, ec);
        bool const has_room =
            reading.grow_to(memory_of(source) + connection.buffer.capacity());
        if (!ec && !has_room)
        {
            ec = make_error_code(boost::system::errc::not_enough_memory);
        }
    }
    co_return ec;
}

} // namespace plantaintally::drivers
