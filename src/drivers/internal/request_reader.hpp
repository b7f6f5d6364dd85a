// Reads complete requests from a connection within size and time limits.
#pragma once

#include "base/moment.hpp"
#include "drivers/http.hpp"
#include "drivers/internal/deadline_guard.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
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
    no_room_for_body
};

// Returns the name used in metrics and logs.
std::string_view to_string(read_failure failure);

using read_result = std::variant<incoming_request, read_failure>;

class request_reader
{
public:
    // The socket, the guard and the limits must outlive the reader.
    request_reader(tcp::socket& connection,
                   deadline_guard& socket_guard,
                   read_limits const& bounds);

    // Reads the next request. If `is_idle_limited`, the idle timeout starts at
    // once; otherwise it starts with limit_idle().
    asio::awaitable<read_result> read(bool is_idle_limited);
    // Starts the idle timeout if no request is being read. Called when no
    // response is pending.
    void limit_idle();

    // True while no byte of the next request has been read.
    [[nodiscard]] bool is_idle() const;
    // The headers of the request for whose body there was no room.
    [[nodiscard]] incoming_request const& refused_head() const;
    // Returns the number of bytes read since the last call.
    std::uint64_t consume_byte_count();

private:
    tcp::socket& socket;
    deadline_guard& guard;
    read_limits const& limits;
    boost::beast::flat_buffer buffer;
    bool is_between_requests = true;
    std::uint64_t byte_count = 0;
    incoming_request refused_request;

    asio::awaitable<read_result> read_message();
    // Reads the rest of the body while there is room for it.
    template <class Parser>
    asio::awaitable<error_code> read_body(Parser& source,
                                          admission::body_hold& hold);
};

} // namespace plantaintally::drivers
