// HTTP client that sends each request once over pooled connections.
#pragma once

#include "admission/answer_budget.hpp"
#include "drivers/http.hpp"
#include "drivers/internal/connection_pool.hpp"
#include "messages/request_types.hpp"
#include "responses/response_parser.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace plantaintally::drivers
{

// Why a call returned no complete response. `is_written` is false only if no
// byte of the request was written to a connection.
struct call_failure
{
    attempt_failure failure = attempt_failure::timed_out;
    bool is_written = true;
    // True if the connection showed no sign of life: nothing was received
    // before the deadline, or the kernel's time-out ended the connection.
    bool is_silent = false;
};

using call_result = std::variant<answer, call_failure>;

// Cancels a running call; must outlive the call.
class call_control
{
public:
    // Cancels the call by closing its connection; the call fails with
    // attempt_failure::cancelled.
    void cancel();
    [[nodiscard]] bool is_cancelled() const;

private:
    friend class http_client;
    tcp::socket* socket = nullptr;
    bool is_cancel_requested = false;
};

class http_client
{
public:
    struct limits
    {
        std::uint32_t max_header_bytes = 0;
        std::uint64_t max_answer_bytes = 0;
        // True if the end of the connection may delimit a response's body.
        bool allows_close_delimited = false;
        // Shared by all clients of the node; null if answers are not limited in
        // sum.
        std::shared_ptr<admission::answer_budget> answers = {};
    };

    http_client(connection_pool& connections, limits bounds);

    // Sends the request and reads its response. The request is never repeated
    // on another connection. The connection is reused only if the request was
    // written, the response was read completely and no further bytes arrived
    // with it.
    asio::awaitable<call_result> call(std::string address,
                                      outgoing_request request,
                                      duration timeout,
                                      call_control& control);

private:
    connection_pool& pool;
    limits config;

    // What a response says about its connection.
    struct framing
    {
        bool is_reusable = false;
        // True if only the end of the connection delimits the body.
        bool is_close_delimited = false;
    };

    asio::awaitable<call_result> exchange(pooled_connection& connection,
                                          outgoing_request const& request,
                                          call_control& control,
                                          bool& is_reusable);
    // Reads the response to this request, skipping late responses to earlier
    // ones. A response that should name its request and names none may belong
    // to any, so it is malformed.
    asio::awaitable<call_result> read_answer(pooled_connection& connection,
                                             outgoing_request const& request,
                                             call_control& control,
                                             framing& framed);
    asio::awaitable<call_result> read_next_answer(pooled_connection& connection,
                                                  bool is_head,
                                                  call_control& control,
                                                  framing& framed);
    // Reads the rest of a response's body while there is memory for it.
    asio::awaitable<error_code> read_body(pooled_connection& connection,
                                          responses::response_parser& source);
};

} // namespace plantaintally::drivers
