#include "drivers/internal/session.hpp"

#include "drivers/internal/arrival.hpp"
#include "logging/logging.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace plantaintally::drivers
{

namespace
{

constexpr std::uint32_t bad_request = 400;
constexpr std::uint32_t request_timeout = 408;
constexpr std::uint32_t content_too_large = 413;
constexpr std::uint32_t header_fields_too_large = 431;
constexpr std::uint32_t service_unavailable = 503;

// Maximum number of requests of a connection that are processed concurrently;
// further ones stay unread, so that TCP flow control slows the sender down.
constexpr std::size_t max_pending_answers = 16;

// When to send a request again for whose body there was no room: bodies are
// held until their requests are answered, which takes a few hundred
// milliseconds.
constexpr duration body_retry_delay = std::chrono::milliseconds(200);
// When to send a request again that came before the operators' limits.
constexpr duration configuration_retry_delay = std::chrono::milliseconds(200);

// Returns the body; its memory counts as held until the last reference is gone.
std::shared_ptr<std::string const> share_body(incoming_request request)
{
    struct held_body
    {
        std::string text;
        admission::body_hold hold;
    };
    auto const owner = std::make_shared<held_body const>(
        held_body{std::move(request.body), std::move(request.hold)});
    return {owner, &owner->text};
}

refused_answer refuse_until_configured()
{
    auto refused = refuse_input(service_unavailable,
                                refusal::no_upstream,
                                "the operators' limits are not known yet");
    refused.report.retry_after = configuration_retry_delay;
    return refused;
}

// Creates the refusal for a request that could not be read; nothing if the
// connection has ended.
std::optional<refused_answer> refusal_for(read_failure failure)
{
    switch (failure)
    {
    case read_failure::malformed:
        return refuse_input(
            bad_request, refusal::bad_request, "the request is malformed");
    case read_failure::header_too_large:
        return refuse_input(header_fields_too_large,
                            refusal::too_large,
                            "the request's headers are too large");
    case read_failure::body_too_large:
        return refuse_input(content_too_large,
                            refusal::too_large,
                            "the request's body is too large");
    case read_failure::header_too_slow:
        return refuse_input(request_timeout,
                            refusal::bad_request,
                            "the request's headers were not received in time");
    case read_failure::body_too_slow:
        return refuse_input(request_timeout,
                            refusal::bad_request,
                            "the request's body was not received in time");
    case read_failure::no_room_for_body:
    {
        auto refused = refuse_input(service_unavailable,
                                    refusal::overload,
                                    "the node holds too many request bodies");
        refused.report.lacks_capacity = true;
        refused.report.retry_after = body_retry_delay;
        return refused;
    }
    case read_failure::limits_unknown:
        return refuse_until_configured();
    case read_failure::closed:
    case read_failure::idle:
    case read_failure::incomplete:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

session::session(tcp::socket accepted, session_services& shared)
    : services(shared), connection(std::move(accepted)),
      reader(this->connection,
             shared.limits,
             [this] { this->state_changed.cancel(); }),
      remote_ip(this->connection.remote_ip()),
      is_remote_own_host(this->connection.is_from_own_host()),
      state_changed(this->connection.executor())
{
    this->services.open_sessions.insert(this);
}

session::~session()
{
    this->services.open_sessions.erase(this);
}

asio::awaitable<void> session::serve()
{
    using namespace asio::experimental::awaitable_operators;
    response_writer writer(this->connection);
    co_await (this->read_requests() && this->write_answers(writer));
    co_await writer.close_gracefully();
}

asio::awaitable<void> session::refuse_connection()
{
    auto refused = drivers::refuse_input(
        service_unavailable, refusal::overload, "too many connections");
    refused.report.retry_after = std::chrono::seconds(1);
    answer_recipient const recipient{this->services.source,
                                     this->services.make_trace_id()};
    exchange_reply const reply = std::move(refused);
    response_writer writer(this->connection);
    co_await this->write_reply(writer, recipient, reply, false, false);
    co_await writer.close_gracefully();
}

void session::close_if_idle()
{
    if (this->reader.is_idle() && this->pending.empty())
    {
        this->connection.cancel();
    }
}

asio::awaitable<void> session::read_requests()
{
    bool is_last = false;
    while (!this->is_closing)
    {
        if (this->pending.size() >= max_pending_answers)
        {
            co_await this->wait_for_change();
            continue;
        }
        auto read = co_await this->reader.read(this->pending.empty());
        this->services.driver_metrics.add(
            {"received_bytes_total",
             "listener",
             this->services.listener_name,
             {},
             {}},
            static_cast<double>(this->reader.consume_byte_count()));
        if (auto const* const failure = std::get_if<read_failure>(&read))
        {
            this->handle_read_failure(*failure);
            break;
        }
        // After the last request, or behind the last response, only the end of
        // the connection is awaited.
        if (!is_last && !this->is_last_answer)
        {
            auto& request = std::get<incoming_request>(read);
            is_last = !request.is_keep_alive;
            this->is_accepting = true;
            auto accepted = co_await this->accept_request(std::move(request));
            this->is_accepting = false;
            this->add_pending(std::move(accepted));
        }
    }
    this->has_read_all = true;
    this->state_changed.cancel();
}

asio::awaitable<void> session::write_answers(response_writer& writer)
{
    while (!this->is_closing)
    {
        if (this->pending.empty() && this->reader.take_due_continue())
        {
            this->is_closing = !co_await this->write_continue(writer);
            continue;
        }
        if (this->pending.empty() && this->has_read_all)
        {
            break;
        }
        if (this->pending.empty())
        {
            co_await this->wait_for_change();
            continue;
        }
        bool const stays_open =
            co_await this->write_pending(writer, this->pending.front());
        this->pending.pop_front();
        this->is_closing = !stays_open;
        this->state_changed.cancel();
        if (this->pending.empty())
        {
            this->reader.limit_idle();
        }
    }
    this->is_closing = true;
    this->abandon_pending();
    for (pending_answer const& unanswered : std::exchange(this->pending, {}))
    {
        if (auto const* const id =
                std::get_if<exchange_id>(&unanswered.content))
        {
            co_await this->services.exchanges.wait(*id);
        }
    }
    this->reader.stop();
}

asio::awaitable<void> session::wait_for_change()
{
    error_code ignored;
    this->state_changed.expires_at(asio::steady_timer::time_point::max());
    co_await this->state_changed.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

void session::add_pending(pending_answer pending_reply)
{
    this->pending.push_back(std::move(pending_reply));
    this->state_changed.cancel();
}

asio::awaitable<session::pending_answer>
session::accept_request(incoming_request request)
{
    pending_answer accepted_request;
    accepted_request.recipient.source = this->services.source;
    accepted_request.is_head = request.method == "HEAD";
    accepted_request.is_keep_alive = request.is_keep_alive;
    if (this->services.handle_locally)
    {
        auto local_result = co_await this->services.handle_locally(request);
        if (local_result)
        {
            accepted_request.content = std::move(*local_result);
            co_return accepted_request;
        }
    }
    auto arrived = this->parse(request);
    if (!arrived)
    {
        this->note_refused_input("bad-head", arrived.error().message);
        accepted_request.recipient.trace_id = this->services.make_trace_id();
        accepted_request.content = exchange_reply(drivers::refuse_input(
            bad_request, refusal::bad_request, arrived.error().message));
        co_return accepted_request;
    }
    accepted_request.recipient.trace_id = arrived.value().head.trace_id;
    // The caller has closed the connection already, so the request need not
    // run.
    if (this->connection.peek() == peek_result::end)
    {
        this->services.driver_metrics.add({"requests_read_too_late_total",
                                           "listener",
                                           this->services.listener_name,
                                           {},
                                           {}});
        accepted_request.content = exchange_reply(abandoned{});
        co_return accepted_request;
    }
    auto const id = this->services.exchanges.open(
        {arrived.value().head,
         std::move(arrived.value().forwarded_headers),
         share_body(std::move(request))});
    this->services.submit_event(
        request_arrived{id,
                        this->services.source,
                        std::move(arrived.value().head),
                        std::move(arrived.value().hop)});
    accepted_request.content = id;
    co_return accepted_request;
}

asio::awaitable<bool>
session::write_pending(response_writer& writer,
                       pending_answer const& pending_reply)
{
    bool const stays_open = pending_reply.is_keep_alive;
    if (auto const* const local_reply =
            std::get_if<local_answer>(&pending_reply.content))
    {
        outgoing_answer content;
        content.status = local_reply->status;
        content.headers.push_back({"Content-Type", local_reply->media_type});
        content.body = local_reply->body;
        content.is_head = pending_reply.is_head;
        content.is_keep_alive = stays_open;
        co_return co_await this->write(writer, std::move(content));
    }
    if (auto const* const reply =
            std::get_if<exchange_reply>(&pending_reply.content))
    {
        co_return co_await this->write_reply(writer,
                                             pending_reply.recipient,
                                             *reply,
                                             pending_reply.is_head,
                                             stays_open);
    }
    auto const reply = co_await this->services.exchanges.wait(
        std::get<exchange_id>(pending_reply.content));
    co_return co_await this->write_reply(writer,
                                         pending_reply.recipient,
                                         reply,
                                         pending_reply.is_head,
                                         stays_open);
}

void session::abandon_pending()
{
    if (std::exchange(this->is_abandoned, true))
    {
        return;
    }
    for (pending_answer const& unanswered : this->pending)
    {
        auto const* const id = std::get_if<exchange_id>(&unanswered.content);
        if (id == nullptr)
        {
            continue;
        }
        this->services.driver_metrics.add({"requests_abandoned_total",
                                           "listener",
                                           this->services.listener_name,
                                           {},
                                           {}});
        this->services.submit_event(caller_gone{*id});
        this->services.exchanges.abandon(*id);
    }
}

asio::awaitable<bool> session::write_reply(response_writer& writer,
                                           answer_recipient const& recipient,
                                           exchange_reply const& reply,
                                           bool is_head,
                                           bool is_keep_alive)
{
    if (std::holds_alternative<abandoned>(reply))
    {
        co_return false;
    }
    outgoing_answer content;
    content.is_head = is_head;
    content.is_keep_alive = is_keep_alive;
    bool const is_caller = this->services.source == request_source::caller;
    dialect const& reply_dialect = is_caller ? this->services.external_dialect
                                             : this->services.peer_dialect;
    refusal_message message;
    if (auto const* const refused = std::get_if<refused_answer>(&reply))
    {
        message = reply_dialect.write_refusal(recipient, *refused);
        content.status = refused->status;
        content.headers = std::move(message.headers);
        content.body = message.body;
    }
    else
    {
        auto const& forwarded_reply = std::get<forwarded_answer>(reply);
        content.status = forwarded_reply.content->status;
        content.headers =
            reply_dialect.answer_headers(recipient, forwarded_reply.report);
        auto const& response_headers = forwarded_reply.content->headers;
        content.headers.insert(content.headers.end(),
                               response_headers.begin(),
                               response_headers.end());
        content.body = forwarded_reply.content->body;
        content.declared_content_length =
            forwarded_reply.content->declared_content_length;
    }
    co_return co_await this->write(writer, std::move(content));
}

asio::awaitable<bool> session::write_continue(response_writer& writer)
{
    auto const count =
        co_await writer.write_continue(this->services.write_timeout);
    this->count_sent_bytes(count);
    this->reader.handle_continue_written();
    co_return count != 0;
}

asio::awaitable<bool> session::write(response_writer& writer,
                                     outgoing_answer content)
{
    // A stopping node closes the connection with the last pending response.
    bool const is_last = this->pending.size() <= 1 && !this->is_accepting;
    content.is_keep_alive =
        content.is_keep_alive && !(this->services.is_stopping && is_last);
    this->is_last_answer = !content.is_keep_alive;
    auto const count =
        co_await writer.write(content, this->services.write_timeout);
    this->count_sent_bytes(count);
    if (count == 0)
    {
        this->services.driver_metrics.add({"answers_unwritten_total",
                                           "listener",
                                           this->services.listener_name,
                                           {},
                                           {}});
    }
    co_return count != 0 && content.is_keep_alive;
}

void session::count_sent_bytes(std::uint64_t count)
{
    metric_name const sent{
        "sent_bytes_total", "listener", this->services.listener_name, {}, {}};
    this->services.driver_metrics.add(sent, static_cast<double>(count));
}

void session::handle_read_failure(read_failure failure)
{
    if (failure == read_failure::closed)
    {
        return this->abandon_pending();
    }
    if (failure == read_failure::idle)
    {
        return;
    }
    auto refused = refusal_for(failure);
    this->note_refused_input(to_string(failure),
                             refused ? refused->detail : "no answer");
    if (!refused)
    {
        return this->abandon_pending();
    }
    pending_answer pending_reply;
    pending_reply.recipient = {this->services.source,
                               this->services.make_trace_id()};
    if (failure == read_failure::no_room_for_body)
    {
        auto const head = this->parse(this->reader.refused_head());
        if (head)
        {
            pending_reply.recipient.trace_id = head.value().head.trace_id;
        }
    }
    pending_reply.content = exchange_reply(std::move(*refused));
    pending_reply.is_keep_alive = false;
    this->add_pending(std::move(pending_reply));
}

result<parsed_request> session::parse(incoming_request const& request) const
{
    bool const is_caller = this->services.source == request_source::caller;
    return is_caller ? this->services.external_dialect.read_request(
                           request, this->origin())
                     : parse_request(request, this->origin());
}

void session::note_refused_input(std::string_view reason,
                                 std::string_view detail)
{
    auto const listener_name = this->services.listener_name;
    this->services.driver_metrics.add(
        {"input_refused_total", "listener", listener_name, "reason", reason});
    logging::write({logging::level::debug,
                    "drivers",
                    "input-refused",
                    {{"listener", std::string(listener_name)},
                     {"reason", std::string(reason)},
                     {"sender", this->remote_ip},
                     {"detail", std::string(detail)}}});
}

request_origin session::origin() const
{
    bool const is_local = this->services.source == request_source::local;
    if (!this->services.caller_service.empty())
    {
        return {this->services.source,
                this->services.caller_service,
                this->services.make_trace_id(),
                this->is_remote_own_host};
    }
    return {this->services.source,
            is_local ? this->services.local_service() : this->remote_ip,
            this->services.make_trace_id(),
            this->is_remote_own_host};
}

} // namespace plantaintally::drivers
