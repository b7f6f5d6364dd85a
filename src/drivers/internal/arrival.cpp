#include "drivers/internal/arrival.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

constexpr std::string_view node_prefix = "Plantaintally-";
constexpr std::string_view caller_header = "Plantaintally-Caller";
constexpr std::string_view deadline_header = "Plantaintally-Deadline-Ms";
constexpr std::size_t max_trace_id_bytes = 128;
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t max_service_bytes = 255;
constexpr std::uint64_t max_deadline_ms = 86'400'000;

// Headers that nodes give a meaning of their own.
bool is_own_header(std::string_view name)
{
    return equals_name(name, "Host") || equals_name(name, "X-Request-Id") ||
           equals_name(name, "Idempotency-Key") ||
           codec::has_prefix_ignoring_case(name, node_prefix);
}

// True if the Connection header names this header as one of the connection.
bool is_named(std::string_view connection, std::string_view name)
{
    while (!connection.empty())
    {
        auto const comma = connection.find(',');
        auto token = connection.substr(0, comma);
        connection.remove_prefix(
            comma == std::string_view::npos ? connection.size() : comma + 1);
        while (!token.empty() && token.front() == ' ')
        {
            token.remove_prefix(1);
        }
        while (!token.empty() && token.back() == ' ')
        {
            token.remove_suffix(1);
        }
        if (equals_name(token, name))
        {
            return true;
        }
    }
    return false;
}

std::vector<header_field>
passed_headers(std::vector<header_field> const& headers)
{
    std::vector<header_field> passed;
    for (auto const& header : headers)
    {
        if (!is_own_header(header.name) &&
            !is_connection_header(headers, header.name))
        {
            passed.push_back(header);
        }
    }
    return passed;
}

bool is_visible(std::string_view text)
{
    constexpr char first = '!';
    constexpr char last = '~';
    return std::all_of(text.begin(),
                       text.end(),
                       [](char letter)
                       { return letter >= first && letter <= last; });
}

std::size_t count_headers(std::vector<header_field> const& headers,
                          std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(),
                      headers.end(),
                      [&](header_field const& header)
                      { return equals_name(header.name, name); }));
}

// What is wrong with a header that may stand once, empty if nothing is.
std::string check_single(std::vector<header_field> const& headers,
                         std::string_view name,
                         std::size_t longest)
{
    if (count_headers(headers, name) > 1)
    {
        return "header " + std::string(name) + " stands twice";
    }
    auto const value = find_header(headers, name);
    if (value.size() > longest)
    {
        return "header " + std::string(name) + " is longer than " +
               std::to_string(longest) + " bytes";
    }
    if (!is_visible(value))
    {
        return "header " + std::string(name) +
               " has other than visible ASCII characters";
    }
    return {};
}

std::string check_head(incoming_request const& request)
{
    if (!request.target.starts_with('/') || !is_visible(request.target))
    {
        return "the request's target is not a path";
    }
    if (find_header(request.headers, "Host").empty())
    {
        return "header Host is missing; it names the service";
    }
    for (auto const& [name, longest] :
         {std::pair{std::string_view("Host"), max_service_bytes},
          std::pair{std::string_view("X-Request-Id"), max_trace_id_bytes},
          std::pair{std::string_view("Idempotency-Key"), max_key_bytes},
          std::pair{deadline_header, max_key_bytes},
          std::pair{caller_header, max_key_bytes}})
    {
        auto problem = check_single(request.headers, name, longest);
        if (!problem.empty())
        {
            return problem;
        }
    }
    return {};
}

result<std::optional<duration>>
parse_time_left(std::vector<header_field> const& headers)
{
    if (count_headers(headers, deadline_header) == 0)
    {
        return std::optional<duration>();
    }
    auto const text = find_header(headers, deadline_header);
    std::uint64_t milliseconds = 0;
    auto const* const end = text.data() + text.size();
    auto const [stopped, problem] =
        std::from_chars(text.data(), end, milliseconds);
    if (problem != std::errc() || stopped != end ||
        milliseconds > max_deadline_ms)
    {
        return fail(errc::invalid_input,
                    "header " + std::string(deadline_header) +
                        " is no number of milliseconds up to " +
                        std::to_string(max_deadline_ms));
    }
    return std::optional<duration>(std::chrono::milliseconds(milliseconds));
}

std::string caller_of(incoming_request const& request,
                      arrival_origin const& origin)
{
    bool const is_peer = origin.source == request_source::peer;
    return is_peer ? std::string(find_header(request.headers, caller_header))
                   : origin.caller;
}

} // namespace

bool equals_name(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           codec::has_prefix_ignoring_case(left, right);
}

std::string_view find_header(std::vector<header_field> const& headers,
                             std::string_view name)
{
    for (auto const& header : headers)
    {
        if (equals_name(header.name, name))
        {
            return header.value;
        }
    }
    return {};
}

bool is_connection_header(std::vector<header_field> const& headers,
                          std::string_view name)
{
    constexpr std::array<std::string_view, 11> listed{"Connection",
                                                      "Proxy-Connection",
                                                      "Proxy-Authenticate",
                                                      "Proxy-Authorization",
                                                      "Keep-Alive",
                                                      "TE",
                                                      "Trailer",
                                                      "Transfer-Encoding",
                                                      "Upgrade",
                                                      "Content-Length",
                                                      "Expect"};
    return std::any_of(listed.begin(),
                       listed.end(),
                       [&](auto each) { return equals_name(name, each); }) ||
           is_named(find_header(headers, "Connection"), name);
}

std::string host_of(std::string_view authority)
{
    auto const colon = authority.rfind(':');
    std::string host(authority.substr(0, colon));
    std::transform(host.begin(),
                   host.end(),
                   host.begin(),
                   [](char letter)
                   {
                       bool const is_upper = letter >= 'A' && letter <= 'Z';
                       return is_upper ? static_cast<char>(letter + ('a' - 'A'))
                                       : letter;
                   });
    return host;
}

result<arrival> parse_arrival(incoming_request const& request,
                              arrival_origin const& origin)
{
    auto problem = check_head(request);
    auto const& headers = request.headers;
    auto const trace_id = find_header(headers, "X-Request-Id");
    if (problem.empty() && trace_id.empty() &&
        origin.source == request_source::local)
    {
        problem = "header X-Request-Id is missing; it names the request that "
                  "the call belongs to";
    }
    if (!problem.empty())
    {
        return fail(errc::invalid_input, problem);
    }
    auto const time_left = parse_time_left(headers);
    if (!time_left)
    {
        return time_left.error();
    }
    arrival parsed;
    std::string const host = host_of(find_header(headers, "Host"));
    parsed.head = {trace_id.empty() ? origin.fresh_trace_id
                                    : std::string(trace_id),
                   host,
                   host,
                   request.method,
                   request.target,
                   std::string(find_header(headers, "Idempotency-Key")),
                   caller_of(request, origin),
                   time_left.value(),
                   request.body.size()};
    parsed.passed_headers = passed_headers(headers);
    if (origin.source == request_source::peer)
    {
        auto hop = codec::decode_hop_context(headers);
        if (!hop)
        {
            return hop.error();
        }
        parsed.hop = std::move(hop.value());
    }
    return parsed;
}

std::vector<header_field>
passed_answer_headers(std::vector<header_field> const& headers)
{
    return passed_headers(headers);
}

} // namespace plantaintally::drivers
