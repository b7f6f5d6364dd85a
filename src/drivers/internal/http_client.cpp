#include "drivers/internal/http_client.hpp"

#include "drivers/dialect.hpp"

#include <boost/asio/redirect_error.hpp>
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
using parser = http::response_parser<http::string_body>;
using request_message = http::request<http::span_body<char const>>;

constexpr unsigned http_version_1_1 = 11;
constexpr unsigned first_final_status = 200;

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

// How an answer that could not be read ended.
attempt_failure classify(error_code problem, bool has_begun)
{
    if (problem == http::error::end_of_stream)
    {
        return attempt_failure::closed_after_write;
    }
    bool const is_protocol_error =
        problem.category() ==
        http::make_error_code(http::error::bad_method).category();
    if (problem == http::error::partial_message || !is_protocol_error)
    {
        return has_begun ? attempt_failure::incomplete_answer
                         : attempt_failure::closed_after_write;
    }
    return attempt_failure::malformed_answer;
}

// The failure of a call that was given up or is late, before any other.
call_failure failure_of(call_control const& control,
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

answer take_answer(parser& source, bool is_head)
{
    auto message = source.release();
    answer whole{message.result_int(), {}, std::move(message.body()), {}};
    for (auto const& field : message)
    {
        whole.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    if (is_head && source.content_length())
    {
        whole.stated_length = *source.content_length();
    }
    return whole;
}

// A request being written; kept alive by the writing.
struct sending
{
    sending(request_message content, std::shared_ptr<std::string const> held)
        : message(std::move(content)), body(std::move(held))
    {
    }

    request_message message;
    std::shared_ptr<std::string const> body;
    bool is_done = false;
    error_code problem;
    std::size_t written = 0;
};

// True if the answer is the one to this request.
bool is_awaited(answer const& whole, outgoing_request const& request)
{
    header_field const& wanted = request.expected_id;
    if (wanted.name.empty())
    {
        return true;
    }
    auto const found = find_header(whole.headers, wanted.name);
    return found.empty() || found == wanted.value;
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
    this->is_given_up = true;
    if (this->socket != nullptr)
    {
        error_code ignored;
        this->socket->close(ignored);
    }
}

bool call_control::is_cancelled() const
{
    return this->is_given_up;
}

http_client::http_client(connection_pool& connections, limits bounds)
    : pool(connections), chosen(bounds)
{
}

asio::awaitable<call_result> http_client::call(std::string address,
                                               outgoing_request request,
                                               duration timeout,
                                               call_control& control)
{
    using clock = std::chrono::steady_clock;
    auto const deadline = clock::now() + timeout;
    auto const leased = co_await this->pool.lease(std::move(address), timeout);
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
    connection.guard.arm(time_left);
    control.socket = &connection.socket;
    bool is_reusable = false;
    auto result =
        co_await this->exchange(connection, request, control, is_reusable);
    control.socket = nullptr;
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
    // The answer is read while the request is still written: an upstream may
    // answer, and stop reading, before it has the whole body. The message
    // outlives this call if the writing does.
    auto const sent =
        std::make_shared<sending>(to_message(request), request.body);
    http::async_write(connection.socket,
                      sent->message,
                      [sent](error_code problem, std::size_t count)
                      {
                          sent->is_done = true;
                          sent->problem = problem;
                          sent->written = count;
                      });
    auto result =
        co_await this->read_answer(connection, request, control, is_reusable);
    is_reusable = is_reusable && sent->is_done && !sent->problem;
    auto const* const failure = std::get_if<call_failure>(&result);
    bool const is_unwritten = failure != nullptr && sent->is_done &&
                              sent->problem && sent->written == 0;
    if (is_unwritten && failure->failure == attempt_failure::closed_after_write)
    {
        co_return call_failure{attempt_failure::closed_before_write, false};
    }
    co_return result;
}

asio::awaitable<call_result>
http_client::read_answer(pooled_connection& connection,
                         outgoing_request const& request,
                         call_control& control,
                         bool& is_reusable)
{
    bool const is_head = request.method == "HEAD";
    bool has_skipped = false;
    while (true)
    {
        bool is_kept = false;
        auto result =
            co_await this->read_one(connection, is_head, control, is_kept);
        auto const* const whole = std::get_if<answer>(&result);
        if (whole == nullptr || is_awaited(*whole, request))
        {
            is_reusable = is_kept && !has_skipped;
            co_return result;
        }
        if (!is_kept)
        {
            co_return call_failure{attempt_failure::closed_after_write, true};
        }
        // A late answer to an earlier request on this connection.
        has_skipped = true;
    }
}

asio::awaitable<call_result>
http_client::read_one(pooled_connection& connection,
                      bool is_head,
                      call_control& control,
                      bool& is_kept)
{
    std::optional<parser> source;
    error_code problem;
    do
    {
        source.emplace();
        source->header_limit(this->chosen.max_header_bytes);
        source->body_limit(this->chosen.max_answer_bytes);
        source->skip(is_head);
        co_await http::async_read_header(
            connection.socket,
            connection.buffer,
            *source,
            asio::redirect_error(asio::use_awaitable, problem));
    } while (!problem && source->get().result_int() < first_final_status);
    bool const has_begun = source->got_some();
    // Unless the other side is known to end answers so, one that only the end
    // of the connection delimits can't be told from a short one.
    bool const is_delimited = problem || is_head || !source->need_eof() ||
                              source->is_done() || this->chosen.takes_unframed;
    if (!problem && !is_delimited)
    {
        co_return call_failure{attempt_failure::incomplete_answer, true};
    }
    if (!problem && !source->is_done())
    {
        co_await http::async_read(
            connection.socket,
            connection.buffer,
            *source,
            asio::redirect_error(asio::use_awaitable, problem));
    }
    if (problem)
    {
        co_return failure_of(
            control, connection, classify(problem, has_begun), true);
    }
    is_kept = source->keep_alive();
    co_return take_answer(*source, is_head);
}

} // namespace plantaintally::drivers
