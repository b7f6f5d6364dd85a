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

// Headers that are not forwarded as they are, because nodes interpret or set
// them.
bool is_node_header(std::string_view name)
{
    return equals_ignoring_case(name, "Host") ||
           equals_ignoring_case(name, "X-Request-Id") ||
           equals_ignoring_case(name, "Idempotency-Key") ||
           codec::has_prefix_ignoring_case(name, node_prefix);
}

// True if the value of the Connection header lists this name.
bool is_listed_in(std::string_view connection, std::string_view name)
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
        if (equals_ignoring_case(token, name))
        {
            return true;
        }
    }
    return false;
}

std::vector<header_field>
forwarded_headers(std::vector<header_field> const& headers)
{
    std::vector<header_field> forwardable;
    for (auto const& header : headers)
    {
        if (!is_node_header(header.name) &&
            !is_hop_by_hop_header(headers, header.name))
        {
            forwardable.push_back(header);
        }
    }
    return forwardable;
}

// Restores the names that to_peer_header() has changed.
std::vector<header_field>
headers_from_peer(std::vector<header_field> const& headers)
{
    auto restored = forwarded_headers(headers);
    for (auto const& header : headers)
    {
        if (codec::has_prefix_ignoring_case(header.name,
                                            codec::forwarded_prefix))
        {
            restored.push_back(
                {header.name.substr(codec::forwarded_prefix.size()),
                 header.value});
        }
    }
    return restored;
}

bool is_visible_ascii(std::string_view text)
{
    constexpr char first = '!';
    constexpr char last = '~';
    return std::all_of(text.begin(),
                       text.end(),
                       [](char character)
                       { return character >= first && character <= last; });
}

std::size_t count_headers(std::vector<header_field> const& headers,
                          std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(),
                      headers.end(),
                      [&](header_field const& header)
                      { return equals_ignoring_case(header.name, name); }));
}

// Describes what is wrong with a header that may occur only once; empty if it
// is valid.
std::string check_single_header(std::vector<header_field> const& headers,
                                std::string_view name,
                                std::size_t max_bytes)
{
    if (count_headers(headers, name) > 1)
    {
        return "duplicate header " + std::string(name) + " in the request";
    }
    auto const value = find_header(headers, name);
    if (value.size() > max_bytes)
    {
        return "header " + std::string(name) + " is longer than " +
               std::to_string(max_bytes) + " bytes";
    }
    if (!is_visible_ascii(value))
    {
        return "header " + std::string(name) +
               " contains characters other than visible ASCII";
    }
    return {};
}

std::string check_head(incoming_request const& request, request_source source)
{
    // What a target may contain was decided where the request entered the
    // fleet.
    bool const has_valid_characters =
        source == request_source::peer || is_visible_ascii(request.target);
    if (!request.target.starts_with('/') || !has_valid_characters)
    {
        return "the request's target is not a path";
    }
    if (find_header(request.headers, "Host").empty())
    {
        return "header Host is missing; it names the service";
    }
    for (auto const& [name, max_bytes] :
         {std::pair{std::string_view("Host"), max_service_bytes},
          std::pair{std::string_view("X-Request-Id"), max_trace_id_bytes},
          std::pair{std::string_view("Idempotency-Key"), max_key_bytes},
          std::pair{deadline_header, max_key_bytes},
          std::pair{caller_header, max_key_bytes}})
    {
        auto problem = check_single_header(request.headers, name, max_bytes);
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
    auto const [parse_end, problem] =
        std::from_chars(text.data(), end, milliseconds);
    if (problem != std::errc() || parse_end != end ||
        milliseconds > max_deadline_ms)
    {
        return fail(errc::invalid_input,
                    "header " + std::string(deadline_header) +
                        " is not a whole number of milliseconds up to " +
                        std::to_string(max_deadline_ms));
    }
    return std::optional<duration>(std::chrono::milliseconds(milliseconds));
}

std::string caller_of(incoming_request const& request,
                      request_origin const& origin)
{
    bool const is_peer = origin.source == request_source::peer;
    return is_peer ? std::string(find_header(request.headers, caller_header))
                   : origin.caller;
}

} // namespace

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           codec::has_prefix_ignoring_case(left, right);
}

std::string_view find_header(std::vector<header_field> const& headers,
                             std::string_view name)
{
    for (auto const& header : headers)
    {
        if (equals_ignoring_case(header.name, name))
        {
            return header.value;
        }
    }
    return {};
}

bool is_hop_by_hop_header(std::vector<header_field> const& headers,
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
                       [&](auto each)
                       { return equals_ignoring_case(name, each); }) ||
           is_listed_in(find_header(headers, "Connection"), name);
}

std::string host_of(std::string_view authority)
{
    auto const colon = authority.rfind(':');
    std::string host(authority.substr(0, colon));
    std::transform(host.begin(),
                   host.end(),
                   host.begin(),
                   [](char character)
                   {
                       bool const is_upper =
                           character >= 'A' && character <= 'Z';
                       return is_upper
                                  ? static_cast<char>(character + ('a' - 'A'))
                                  : character;
                   });
    return host;
}

result<parsed_request> parse_request(incoming_request const& request,
                                     request_origin const& origin)
{
    auto problem = check_head(request, origin.source);
    auto const& headers = request.headers;
    auto const trace_id = find_header(headers, "X-Request-Id");
    if (problem.empty() && trace_id.empty() &&
        origin.source == request_source::local)
    {
        problem = "header X-Request-Id is missing; it identifies the request "
                  "that this call belongs to";
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
    parsed_request parsed;
    std::string const host = host_of(find_header(headers, "Host"));
    parsed.head = {trace_id.empty() ? origin.fallback_trace_id
                                    : std::string(trace_id),
                   host,
                   host,
                   request.method,
                   request.target,
                   std::string(find_header(headers, "Idempotency-Key")),
                   caller_of(request, origin),
                   time_left.value(),
                   request.body.size()};
    if (origin.source != request_source::peer)
    {
        parsed.forwarded_headers = forwarded_headers(headers);
    }
    else
    {
        parsed.forwarded_headers = headers_from_peer(headers);
        auto hop = codec::decode_hop_context(headers);
        if (!hop)
        {
            return hop.error();
        }
        parsed.hop = std::move(hop.value());
    }
    return parsed;
}

void use_origin_form(incoming_request& request)
{
    constexpr std::string_view scheme = "http://";
    if (!codec::has_prefix_ignoring_case(request.target, scheme))
    {
        return;
    }
    auto const rest = std::string_view(request.target).substr(scheme.size());
    auto const end = rest.find_first_of("/?");
    std::string const authority(rest.substr(0, end));
    std::string path(end == std::string_view::npos ? "" : rest.substr(end));
    if (!path.starts_with('/'))
    {
        path.insert(0, "/");
    }
    request.target = std::move(path);
    std::erase_if(request.headers,
                  [](header_field const& header)
                  { return equals_ignoring_case(header.name, "Host"); });
    request.headers.push_back({"Host", authority});
}

header_field to_peer_header(header_field const& forwarded)
{
    if (!is_node_header(forwarded.name))
    {
        return forwarded;
    }
    return {std::string(codec::forwarded_prefix) + forwarded.name,
            forwarded.value};
}

std::vector<header_field>
forwarded_answer_headers(std::vector<header_field> const& headers)
{
    return forwarded_headers(headers);
}

} // namespace plantaintally::drivers
