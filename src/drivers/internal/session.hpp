// One connection of a caller, a peer or the local upstream. Requests that come
// before earlier ones are answered are worked on at once; the answers go out in
// the order of the requests.
#pragma once

#include "drivers/dialect.hpp"
#include "drivers/internal/answer_headers.hpp"
#include "drivers/internal/counters.hpp"
#include "drivers/internal/deadline_guard.hpp"
#include "drivers/internal/exchange_table.hpp"
#include "drivers/internal/request_reader.hpp"
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

// An answer that the local interface makes by itself.
struct local_answer
{
    std::uint32_t status = 200;
    std::string media_type = "application/json";
    std::string body;
};

// What all sessions of a listener share; outlives them.
struct session_services
{
    counters& figures;
    exchange_table& exchanges;
    // How callers speak, and how nodes speak to one another.
    dialect const& spoken;
    dialect const& between_nodes;
    std::function<void(event)> hand_in;
    read_limits limits;
    duration write_timeout{};
    request_source source = request_source::caller;
    std::string_view listener_name;
    // A trace id for a request that brings none.
    std::function<std::string()> make_trace_id;
    // The service of the local upstream.
    std::function<std::string()> local_service;
    // The service that callers are taken for; empty: they go by their address.
    std::string caller_service;
    // Answers a request of the local interface; nothing if it is none of it.
    std::function<asio::awaitable<std::optional<local_answer>>(
        incoming_request const&)>
        answer_locally;
    // Set once a planned stop began: answers end their connection.
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
    // Tells the other side that there are too many connections.
    asio::awaitable<void> refuse_connection();
    // Ends the connection if no request is on it.
    void close_if_idle();

private:
    // A request whose answer is not written yet: in hand at the reducer, or
    // answered already.
    struct pending_answer
    {
        answer_recipient recipient;
        std::variant<exchange_id, exchange_reply, local_answer> content;
        bool is_head = false;
        bool is_keep_alive = true;
    };

    session_services& services;
    tcp::socket socket;
    deadline_guard read_guard;
    deadline_guard write_guard;
    request_reader reader;
    std::string remote_ip;
    // In the order of the requests; the first is being answered.
    std::deque<pending_answer> pending;
    // Ends a wait of the reading or the writing side.
    asio::steady_timer changed;
    bool is_reading_over = false;
    bool is_closing = false;
    bool is_abandoned = false;

    asio::awaitable<void> read_requests();
    asio::awaitable<void> write_answers();
    // Waits until the other side has done something.
    asio::awaitable<void> wait_for_change();
    asio::awaitable<pending_answer> take_request(incoming_request request);
    asio::awaitable<bool> write_pending(pending_answer const& answered);
    void add_pending(pending_answer answered);
    // The caller has gone: nobody waits for the pending answers.
    void abandon_pending();
    asio::awaitable<bool> write_reply(answer_recipient const& recipient,
                                      exchange_reply const& reply,
                                      bool is_head,
                                      bool is_keep_alive);
    asio::awaitable<bool> write(outgoing_answer content);
    void refuse_input(read_failure failure);
    void count_input(std::string_view reason);
    [[nodiscard]] request_origin origin() const;
};

} // namespace plantaintally::drivers
