// The settings of a node: an INI file that is read and validated as a whole.
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

// IP:PORT, or [IPv6]:PORT for an IPv6 address.
std::string to_string(endpoint const& address);

// True if two listeners can't be open at these addresses at the same time: the
// ports are equal, and so are the hosts, or one of them is the unspecified
// address, which covers all others.
bool overlaps(endpoint const& left, endpoint const& right);

// Parses IP:PORT or [IPv6]:PORT. Fails with errc::invalid_input and the reason.
result<endpoint> parse_endpoint(std::string_view text);

// Time that a node takes to end once the limit of a planned stop has passed:
// responses are written, and the last control messages are sent.
inline constexpr milliseconds exit_time{600};

// Section [node]: identity, addresses and shutdown of this node.
struct node_section
{
    std::string availability_zone;
    // Address at which other nodes reach this one; identifies it in the fleet.
    // Control messages use the next higher port.
    endpoint peer_address;
    endpoint caller_address;
    // Serves the upstream beside the node and operators; loopback only.
    endpoint local_address;
    // Peer addresses to contact first; may be empty.
    std::vector<std::string> contacts;
    // Seed of the reducer's random generator; zero: a random seed at start.
    std::uint64_t seed = 0;
    // Seconds from the request to stop until the platform kills the process;
    // zero: it doesn't.
    double termination_grace_s = 0;
    // Longest time that a planned stop waits for requests in flight to finish.
    // If it is not set, it follows from the termination grace.
    milliseconds stop_limit{60'000};
    // Shortest time for which a planned stop continues to serve callers.
    milliseconds stop_linger{0};
    // False if no caller sends idempotency keys; the node then keeps no state
    // for them.
    bool accepts_idempotency_keys = true;
};

// The protocol spoken with callers, the upstream and the platform's key-value
// store.
enum class dialect_name
{
    native,
    platform
};

// Section [edge]: the external interfaces of the node in a deployment that uses
// a dialect other than the native one.
struct edge_section
{
    dialect_name dialect = dialect_name::native;
    // Service name assigned to all callers; empty: each caller is identified by
    // its address.
    std::string service;
    // Listeners for the upstream's reports, readiness probes and metrics.
    std::optional<endpoint> report_address;
    std::optional<endpoint> ready_address;
    std::optional<endpoint> metrics_address;
    // An upstream is considered gone if it has not reported for this long;
    // zero: never.
    milliseconds upstream_silence_timeout{0};
};

// Source of the service that a request goes to, and of its time limit, attempt
// limit and priority.
enum class route_source
{
    // No route table: the authority of a request names its service.
    none,
    // The route table in the platform's key-value store.
    store
};

// Section [routes].
struct routes_section
{
    route_source source = route_source::none;
};

// Section [retry]: the fleet-wide retry budget of each service.
struct retry_section
{
    // Retries per request to the service.
    double budget_ratio = 0.1;
    // Retries per window in addition to the ratio; zero: no fleet-wide budget,
    // each node has one of its own.
    double budget_extra = 0;
};

// Section [platform]: the platform's key-value store.
struct platform_section
{
    endpoint address;
    // Longest timeout of a call; for a watch, its own limit is added.
    milliseconds timeout{16'000};
    std::uint32_t max_connections = 8;
    // Interval at which a relay polls for configuration changes.
    milliseconds poll_interval{1'000};
};

// Section [limits]: limits on input, connections and waiting times.
struct limits_section
{
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint32_t max_body_bytes = 1U << 20U;
    std::uint32_t max_answer_bytes = 16U << 20U;
    // Total size of the answers kept for attempts that are not yet released.
    std::uint64_t max_retained_bytes = 256U << 20U;
    // Sum of the request bodies held at a time.
    std::uint64_t max_held_body_bytes = 64U << 20U;
    std::uint32_t max_caller_connections = 2'000;
    std::uint32_t max_peer_connections = 4'000;
    std::uint32_t max_local_connections = 1'000;
    // Connections that this node opens to a single peer.
    std::uint32_t max_connections_per_peer = 128;
    // Control links that this node keeps open at the same time.
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
    // Empty: the log is written to `stream`.
    std::string file;
    log_stream stream = log_stream::standard_error;
};

// Section [trace]: recording of the reducer's events to a file.
struct trace_section
{
    // Empty: nothing is recorded.
    std::string file;
};

// Section [measure]: switches for comparative measurements only.
struct measure_section
{
    // False turns off all overload control policies.
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
    // The unparsed values of the file, by "section.key".
    std::map<std::string, std::string> raw_values;
};

// Parses settings from text. Fails with errc::invalid_input and the first
// problem as one line: "file:line: section.key: problem; allowed: ...".
result<node_settings> parse_settings(std::string_view text,
                                     std::string_view file_name);

// Reads and parses a settings file. Fails like parse_settings, with
// errc::not_found if the file can't be read, or with errc::too_large.
result<node_settings> load_settings(std::string const& file_name);

// The keys, as "section.key", whose values differ, separated by commas.
std::string changed_keys(node_settings const& before,
                         node_settings const& after);

// Every known key as "section.key", in the order of the documentation.
std::vector<std::string> known_keys();

} // namespace plantaintally::settings
