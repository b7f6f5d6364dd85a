// The settings of a node: an INI file, read once at start and checked whole.
#pragma once

#include "base/result.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::settings
{

using milliseconds = std::chrono::milliseconds;

// An IP address and a TCP port.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(endpoint const&) const = default;
};

// host:port, with brackets round an IPv6 host.
std::string to_string(endpoint const& address);

// The endpoint written as IP:PORT or [IPv6]:PORT, or why the text is none.
result<endpoint> parse_endpoint(std::string_view text);

// Section [node]: which node this is.
struct node_section
{
    std::string availability_zone;
    // Where other nodes reach this one; names it in the fleet. Control
    // messages use the port after it.
    endpoint peer_address;
    endpoint caller_address;
    // For the upstream beside the node and for operators; loopback only.
    endpoint local_address;
    // Peer addresses to contact first; may be empty.
    std::vector<std::string> contacts;
    // Seed of the reducer's generator; zero draws one at start.
    std::uint64_t seed = 0;
    // Longest time that a planned stop waits for requests in flight.
    milliseconds stop_limit{60'000};
    // Shortest time that a planned stop goes on serving callers.
    milliseconds stop_linger{0};
    // False: no caller sends idempotency keys, and nothing is kept for them.
    bool accepts_idempotency_keys = true;
};

// How callers, the upstream and the platform's service spell what they say.
enum class dialect_name
{
    native,
    platform
};

// Section [edge]: the outside of the node in a deployment that has a dialect
// of its own.
struct edge_section
{
    dialect_name dialect = dialect_name::native;
    // The service that callers are taken for; empty: they go by their address.
    std::string service;
    // Where the upstream reports, readiness is asked for, and metrics are read.
    std::optional<endpoint> report_address;
    std::optional<endpoint> ready_address;
    std::optional<endpoint> metrics_address;
    // An upstream that has not reported for this long is gone; zero: never.
    milliseconds upstream_silence_timeout{0};
};

// Where services and terms of requests come from.
enum class route_source
{
    // The authority of a request names its service.
    none,
    // The route table at the platform's service.
    store
};

// Section [routes].
struct routes_section
{
    route_source source = route_source::none;
};

// Section [retry]: the repeats that the whole fleet may send to a service.
struct retry_section
{
    // Share of the service's requests.
    double budget_ratio = 0.1;
    // Repeats beyond the share in a window; zero: each node has its own.
    double budget_extra = 0;
};

// Section [platform]: the platform's key-value service.
struct platform_section
{
    endpoint address;
    // Longest time for a call; watches wait longer by their own limit.
    milliseconds timeout{2'000};
    std::uint32_t max_connections = 8;
    // Time between two polls for changes of the ranks, by a relay.
    milliseconds poll_interval{1'000};
};

// Section [limits]: bounds on everything that others send.
struct limits_section
{
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint32_t max_body_bytes = 1U << 20U;
    std::uint32_t max_answer_bytes = 16U << 20U;
    // Sum of the answers kept for attempts that are not released yet.
    std::uint64_t max_retained_bytes = 256U << 20U;
    std::uint32_t max_caller_connections = 2'000;
    std::uint32_t max_peer_connections = 4'000;
    std::uint32_t max_local_connections = 1'000;
    // Connections that this node opens to any one peer.
    std::uint32_t max_connections_per_peer = 128;
    // Control links that this node keeps open at a time.
    std::uint32_t max_control_links = 256;
    milliseconds header_timeout{5'000};
    milliseconds body_timeout{10'000};
    milliseconds idle_timeout{60'000};
    milliseconds write_timeout{10'000};
    milliseconds command_timeout{30'000};
};

enum class log_format
{
    plain,
    json
};

enum class log_level
{
    debug,
    info,
    warning,
    error
};

enum class log_stream
{
    standard_error,
    standard_output
};

// Section [log].
struct log_section
{
    log_format format = log_format::plain;
    log_level level = log_level::info;
    // Empty: the stream.
    std::string file;
    log_stream stream = log_stream::standard_error;
};

// Section [trace]: recording of the reducer's events.
struct trace_section
{
    // Empty: off.
    std::string file;
};

// Section [measure]: for comparison in measurements only.
struct measure_section
{
    bool is_policy_enabled = true;
};

struct node_settings
{
    node_section node;
    edge_section edge;
    routes_section routes;
    retry_section retry;
    platform_section platform;
    limits_section limits;
    log_section log;
    trace_section trace;
    measure_section measure;
    // Values as they stand in the file, by "section.key".
    std::map<std::string, std::string> stated;
};

// The settings of the text, or the first fault as one line:
// "file:line: section.key: what is wrong; allowed: ...".
result<node_settings> parse_settings(std::string_view text,
                                     std::string_view file_name);

// The settings of a file, or why there are none; also if it can't be read.
result<node_settings> load_settings(std::string const& file_name);

// The keys whose values differ, separated by commas.
std::string changed_keys(node_settings const& before,
                         node_settings const& after);

// Every known key as "section.key", in the order of the documentation.
std::vector<std::string> known_keys();

} // namespace plantaintally::settings
