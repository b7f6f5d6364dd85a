// A connection from a caller, a peer or the local upstream. Pipelined requests
// are processed concurrently; the responses are written in the order of the
// requests.
#pragma once

#include "drivers/dialect.hpp"
#include "drivers/internal/accepted_connection.hpp"
#include "drivers/internal/answer_headers.hpp"
#include "drivers/internal/counters.hpp"
#include "drivers/internal/exchange_table.hpp"
#include "drivers/internal/request_reader.hpp"
#include "drivers/internal/response_writer.hpp"
#include "messages/events.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace plantaintally::drivers
{

class session;

// A response that the local or edge API creates itself.
struct local_answer
{
    std::uint32_t status = 200;
    std::string media_type = "application/json";
    std::string body;
};

// Shared by all sessions of a listener; must outlive them.
struct session_services
{
    counters& driver_metrics;
    exchange_table& exchanges;
    // The formats used with callers and with other nodes.
    dialect const& external_dialect;
    dialect const& peer_dialect;
    std::function<void(event)> submit_event;
    read_limits limits;
    duration write_timeout{};
    request_source source = request_source::caller;
    std::string_view listener_name;
    // Creates a trace id for a request that has none.
    std::function<std::string()> make_trace_id;
    // Returns the service name of the local upstream.
    std::function<std::string()> local_service;
    // Service name used for all callers; if empty, a caller is identified by
    // its IP address.
    std::string caller_service;
    // Handles requests to the local or edge API. Returns nothing for other
    // requests.
    std::function<asio::awaitable<std::optional<local_answer>>(
        incoming_request const&)>
        handle_locally;
    // Set when a planned stop begins: responses then close their connection.
    bool is_stopping = false;
    std::set<session*> open_sessions;
};

class session
{
public:
    session(tcp::socket accepted, session_services& shared);
    ~session();
    session(session const&) = delete;
    session& operator=(session const&) = delete;

    // Serves the connection until it ends.
    asio::awaitable<void> serve();
    // Refuses the connection because there are too many connections.
    asio::awaitable<void> refuse_connection();
    // Closes the connection if it has no request in flight.
    void close_if_idle();

private:
    // A request whose response has not been written: still processed by the
    // reducer, or answered already.
    struct pending_answer
    {
        answer_recipient recipient;
        std::variant<exchange_id, exchange_reply, local_answer> content;
        bool is_head = false;
        bool is_keep_alive = true;
    };

    session_services& services;
    accepted_connection connection;
    request_reader reader;
    std::string remote_ip;
    bool is_remote_own_host = false;
    // In the order of the requests; the front element is written next.
    std::deque<pending_answer> pending;
    // Wakes the reading or the writing side when the state of the session
    // changes.
    asio::steady_timer state_changed;
    bool has_read_all = false;
    // True while a request that has been read is being accepted.
    bool is_accepting = false;
    // True once a response is being written that closes the connection; no
    // further request is accepted.
    bool is_last_answer = false;
    bool is_closing = false;
    bool is_abandoned = false;

    asio::awaitable<void> read_requests();
    // Writes the responses in the order of the requests. No other coroutine of
    // a session has the writer.
    asio::awaitable<void> write_answers(response_writer& writer);
    // Waits until the reading or the writing side signals a change.
    asio::awaitable<void> wait_for_change();
    asio::awaitable<pending_answer> accept_request(incoming_request request);
    asio::awaitable<bool> write_pending(response_writer& writer,
                                        pending_answer const& pending_reply);
    void add_pending(pending_answer pending_reply);
    // Abandons all pending responses because the caller has gone.
    void abandon_pending();
    asio::awaitable<bool> write_reply(response_writer& writer,
                                      answer_recipient const& recipient,
                                      exchange_reply const& reply,
                                      bool is_head,
                                      bool is_keep_alive);
    asio::awaitable<bool> write_continue(response_writer& writer);
    asio::awaitable<bool> write(response_writer& writer,
                                outgoing_answer content);
    void count_sent_bytes(std::uint64_t count);
    void handle_read_failure(read_failure failure);
    // Counts and logs input that reached no decision.
    void note_refused_input(std::string_view reason, std::string_view detail);
    [[nodiscard]] result<parsed_request>
    parse(incoming_request const& request) const;
    [[nodiscard]] request_origin origin() const;
};

} // namespace plantaintally::drivers
