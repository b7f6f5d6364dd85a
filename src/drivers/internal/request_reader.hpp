// Reads complete requests from a connection within size and time limits. The
// reader can't write: it reports when a `100 Continue` is due, and whoever
// writes the responses sends it.
#pragma once

#include "base/moment.hpp"
#include "drivers/http.hpp"
#include "drivers/internal/accepted_connection.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <string_view>
#include <variant>

namespace plantaintally::drivers
{

struct read_limits
{
    std::uint32_t max_header_bytes = 0;
    std::uint32_t max_body_bytes = 0;
    duration idle_timeout{};
    duration header_timeout{};
    duration body_timeout{};
    // Shared by all listeners; null if bodies are not limited in sum.
    std::shared_ptr<admission::body_budget> bodies = {};
    // True until the operators' limits are known. A request that exceeds these
    // may be within theirs.
    bool is_provisional = false;
};

// Why a request could not be read.
enum class read_failure
{
    // The connection was closed before a complete header was read, or was idle
    // for too long.
    closed,
    idle,
    // The connection ended within a request's body.
    incomplete,
    malformed,
    header_too_large,
    body_too_large,
    header_too_slow,
    body_too_slow,
    // The bodies that the node holds leave no room for this one.
    no_room_for_body,
    // The request exceeds the limits that applied before the operators' limits
    // were known.
    limits_unknown
};

// Returns the name used in metrics and logs.
std::string_view to_string(read_failure failure);

using read_result = std::variant<incoming_request, read_failure>;

class request_reader
{
public:
    // The connection and the limits must outlive the reader. `on_continue_due`
    // is called when a `100 Continue` becomes due.
    request_reader(accepted_connection& source,
                   read_limits const& bounds,
                   std::function<void()> on_continue_due);

    // Reads the next request. If `is_idle_limited`, the idle timeout starts at
    // once; otherwise it starts with limit_idle().
    asio::awaitable<read_result> read(bool is_idle_limited);
    // Starts the idle timeout if no request is being read. Called when no
    // response is pending.
    void limit_idle();
    // Ends the read in progress.
    void stop();

    // Returns true once for a request whose caller waits for a `100 Continue`
    // before it sends the body. The answers to all earlier requests come first.
    // Returns false once the request is complete.
    bool take_due_continue();
    // Starts the body timeout, which does not run while the `100 Continue`
    // waits for its turn, unless the body has begun to arrive.
    void handle_continue_written();

    // True while no byte of the next request has been read.
    [[nodiscard]] bool is_idle() const;
    // The headers of the request for whose body there was no room.
    [[nodiscard]] incoming_request const& refused_head() const;
    // Returns the number of bytes read since the last call.
    std::uint64_t consume_byte_count();

private:
    accepted_connection& connection;
    deadline_guard& guard;
    read_limits const& limits;
    boost::beast::flat_buffer buffer;
    std::function<void()> report_continue_due;
    bool is_between_requests = true;
    bool is_continue_due = false;
    // True while the body timeout waits for the `100 Continue` or the body.
    bool is_body_time_held = false;
    bool is_stopped = false;
    std::uint64_t byte_count = 0;
    incoming_request refused_request;

    asio::awaitable<read_result> read_message();
    void limit_body();
    // Returns false after an error and, with an error, after stop().
    bool can_read(error_code& ec) const;
    // Reads the rest of the body while there is room for it.
    template <class Parser>
    asio::awaitable<error_code> read_body(Parser& source,
                                          admission::body_hold& hold);
};

} // namespace plantaintally::drivers
