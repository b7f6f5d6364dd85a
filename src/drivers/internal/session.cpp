#include "drivers/internal/session.hpp"

#include "drivers/internal/arrival.hpp"
#include "drivers/internal/peek.hpp"
#include "drivers/internal/response_writer.hpp"

#include <boost/asio/post.hpp>
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

std::string address_of(tcp::socket const& socket)
{
    error_code problem;
    auto const remote = socket.remote_endpoint(problem);
    return problem ? std::string() : remote.address().to_string();
}

// The refusal of an input that could not be read; nothing if nobody listens.
std::optional<refused_answer> refusal_of(read_failure failure)
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
                            "the request's headers came too slowly");
    case read_failure::body_too_slow:
        return refuse_input(request_timeout,
                            refusal::bad_request,
                            "the request's body came too slowly");
    case read_failure::closed:
    case read_failure::idle:
    case read_failure::incomplete:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

session::session(tcp::socket accepted, session_services& shared)
    : services(shared), socket(std::move(accepted)), guard(this->socket),
      reader(this->socket, this->guard, shared.limits),
      remote_ip(address_of(this->socket))
{
    this->services.open_sessions.insert(this);
}

session::~session()
{
    this->services.open_sessions.erase(this);
}

asio::awaitable<void> session::serve()
{
    bool is_kept = true;
    while (is_kept)
    {
        auto read = co_await this->reader.read();
        this->services.figures.add(
            {"received_bytes_total",
             "listener",
             this->services.listener_name,
             {},
             {}},
            static_cast<double>(this->reader.take_byte_count()));
        if (auto const* const failure = std::get_if<read_failure>(&read))
        {
            co_await this->refuse_input(*failure);
            break;
        }
        is_kept = co_await this->serve_request(
            std::move(std::get<incoming_request>(read)));
    }
    co_await close_gracefully(this->socket, this->guard);
}

asio::awaitable<void> session::refuse_connection()
{
    auto refused = drivers::refuse_input(
        service_unavailable, refusal::overload, "too many connections");
    refused.report.retry_after = std::chrono::seconds(1);
    answer_recipient const recipient{this->services.source,
                                     this->services.make_trace_id()};
    exchange_reply const reply = std::move(refused);
    co_await this->write_reply(recipient, reply, false, false);
    co_await close_gracefully(this->socket, this->guard);
}

void session::close_if_idle()
{
    if (this->reader.is_idle())
    {
        error_code ignored;
        this->socket.cancel(ignored);
    }
}

asio::awaitable<bool> session::serve_request(incoming_request request)
{
    if (this->services.answer_locally)
    {
        auto answered = co_await this->services.answer_locally(request);
        if (answered)
        {
            outgoing_answer content;
            content.status = answered->status;
            content.headers.push_back({"Content-Type", answered->media_type});
            content.body = answered->body;
            content.is_head = request.method == "HEAD";
            content.is_keep_alive = request.is_keep_alive;
            co_return co_await this->write(std::move(content));
        }
    }
    bool const is_caller = this->services.source == request_source::caller;
    auto arrived =
        is_caller ? this->services.spoken.read_request(request, this->origin())
                  : parse_arrival(request, this->origin());
    if (arrived)
    {
        co_return co_await this->serve_exchange(std::move(request),
                                                std::move(arrived.value()));
    }
    this->count_input("bad-head");
    answer_recipient const recipient{this->services.source,
                                     this->services.make_trace_id()};
    exchange_reply const reply = drivers::refuse_input(
        bad_request, refusal::bad_request, arrived.error().message);
    co_return co_await this->write_reply(
        recipient, reply, request.method == "HEAD", request.is_keep_alive);
}

asio::awaitable<bool> session::serve_exchange(incoming_request request,
                                              arrival arrived)
{
    answer_recipient const recipient{this->services.source,
                                     arrived.head.trace_id};
    bool const is_head = request.method == "HEAD";
    bool const is_keep_alive = request.is_keep_alive;
    // Read late: nobody waits for it any more, and it need not run.
    if (peek(this->socket) == peeked::end)
    {
        this->services.figures.add({"requests_read_too_late_total",
                                    "listener",
                                    this->services.listener_name,
                                    {},
                                    {}});
        co_return false;
    }
    auto const id = this->services.exchanges.open(
        {arrived.head,
         std::move(arrived.passed_headers),
         std::make_shared<std::string const>(std::move(request.body))});
    this->services.hand_in(request_arrived{id,
                                           this->services.source,
                                           std::move(arrived.head),
                                           std::move(arrived.hop)});
    auto const reply = co_await this->await_reply(id);
    co_return co_await this->write_reply(
        recipient, reply, is_head, is_keep_alive);
}

asio::awaitable<exchange_reply> session::await_reply(exchange_id id)
{
    caller_watch watch{id};
    this->watch_caller(watch);
    auto reply = co_await this->services.exchanges.wait(id);
    watch.is_wanted = false;
    while (watch.is_reading)
    {
        error_code ignored;
        this->socket.cancel(ignored);
        co_await asio::post(this->socket.get_executor(), asio::use_awaitable);
    }
    co_return reply;
}

void session::watch_caller(caller_watch& watch)
{
    watch.is_reading = true;
    this->reader.read_ahead(
        [this, &watch](error_code problem)
        {
            watch.is_reading = false;
            if (!watch.is_wanted || problem == asio::error::no_buffer_space ||
                problem == asio::error::operation_aborted)
            {
                return;
            }
            if (problem)
            {
                return this->note_caller_gone(watch.id);
            }
            this->watch_caller(watch);
        });
}

void session::note_caller_gone(exchange_id id)
{
    this->services.figures.add({"requests_abandoned_total",
                                "listener",
                                this->services.listener_name,
                                {},
                                {}});
    this->services.hand_in(caller_gone{id});
    this->services.exchanges.abandon(id);
}

asio::awaitable<bool> session::write_reply(answer_recipient const& recipient,
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
    dialect const& spoken =
        is_caller ? this->services.spoken : this->services.between_nodes;
    refusal_message message;
    if (auto const* const refused = std::get_if<refused_answer>(&reply))
    {
        message = spoken.write_refusal(recipient, *refused);
        content.status = refused->status;
        content.headers = std::move(message.headers);
        content.body = message.body;
    }
    else
    {
        auto const& passed = std::get<passed_answer>(reply);
        content.status = passed.content->status;
        content.headers = spoken.answer_headers(recipient, passed.report);
        auto const& own = passed.content->headers;
        content.headers.insert(content.headers.end(), own.begin(), own.end());
        content.body = passed.content->body;
        content.stated_length = passed.content->stated_length;
    }
    co_return co_await this->write(std::move(content));
}

asio::awaitable<bool> session::write(outgoing_answer content)
{
    content.is_keep_alive =
        content.is_keep_alive && !this->services.is_stopping;
    auto const count = co_await write_answer(
        this->socket, this->guard, this->services.write_timeout, content);
    figure_name const sent{
        "sent_bytes_total", "listener", this->services.listener_name, {}, {}};
    this->services.figures.add(sent, static_cast<double>(count));
    if (count == 0)
    {
        this->services.figures.add({"answers_unwritten_total",
                                    "listener",
                                    this->services.listener_name,
                                    {},
                                    {}});
    }
    co_return count != 0 && content.is_keep_alive;
}

asio::awaitable<void> session::refuse_input(read_failure failure)
{
    if (failure == read_failure::closed || failure == read_failure::idle)
    {
        co_return;
    }
    this->count_input(to_string(failure));
    auto refused = refusal_of(failure);
    if (!refused)
    {
        co_return;
    }
    answer_recipient const recipient{this->services.source,
                                     this->services.make_trace_id()};
    exchange_reply const reply = std::move(*refused);
    co_await this->write_reply(recipient, reply, false, false);
}

void session::count_input(std::string_view reason)
{
    this->services.figures.add({"input_refused_total",
                                "listener",
                                this->services.listener_name,
                                "reason",
                                reason});
}

arrival_origin session::origin() const
{
    bool const is_local = this->services.source == request_source::local;
    if (!this->services.caller_service.empty())
    {
        return {this->services.source,
                this->services.caller_service,
                this->services.make_trace_id()};
    }
    return {this->services.source,
            is_local ? this->services.local_service() : this->remote_ip,
            this->services.make_trace_id()};
}

} // namespace plantaintally::drivers
