// Sends one request and reads its whole answer, over pooled connections.
#pragma once

#include "drivers/http.hpp"
#include "drivers/internal/connection_pool.hpp"
#include "messages/request_types.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace plantaintally::drivers
{

// Why a call brought no whole answer. `is_written` is false only if no byte of
// the request was handed to a connection.
struct call_failure
{
    attempt_failure failure = attempt_failure::timed_out;
    bool is_written = true;
};

using call_result = std::variant<answer, call_failure>;

// Lets a call be given up while it runs; must outlive it.
class call_control
{
public:
    // Ends the call with attempt_failure::cancelled, by closing its connection.
    void cancel();
    [[nodiscard]] bool is_cancelled() const;

private:
    friend class http_client;
    tcp::socket* socket = nullptr;
    bool is_given_up = false;
};

class http_client
{
public:
    struct limits
    {
        std::uint32_t max_header_bytes = 0;
        std::uint64_t max_answer_bytes = 0;
        // True if an answer may end with its connection.
        bool takes_unframed = false;
    };

    http_client(connection_pool& connections, limits bounds);

    // Sends the request once; it is never repeated on another connection. The
    // connection is kept only if the answer was read whole and nothing else
    // came with it.
    asio::awaitable<call_result> call(std::string address,
                                      outgoing_request request,
                                      duration timeout,
                                      call_control& control);

private:
    connection_pool& pool;
    limits chosen;

    asio::awaitable<call_result> exchange(pooled_connection& connection,
                                          outgoing_request const& request,
                                          call_control& control,
                                          bool& is_reusable);
    // The answer to this request; late answers to earlier ones are skipped.
    asio::awaitable<call_result> read_answer(pooled_connection& connection,
                                             outgoing_request const& request,
                                             call_control& control,
                                             bool& is_reusable);
    asio::awaitable<call_result> read_one(pooled_connection& connection,
                                          bool is_head,
                                          call_control& control,
                                          bool& is_kept);
};

} // namespace plantaintally::drivers
