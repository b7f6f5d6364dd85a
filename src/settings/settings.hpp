// The settings of a node: an INI file, read once at start and checked whole.
#pragma once

#include "base/result.hpp"

#include <chrono>
#include <cstdint>
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
};

// Section [platform]: the platform's key-value service.
struct platform_section
{
    endpoint address;
    // Longest time for a call; watches wait longer by their own limit.
    milliseconds timeout{2'000};
    std::uint32_t max_connections = 8;
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

// Section [log].
struct log_section
{
    log_format format = log_format::plain;
    log_level level = log_level::info;
    // Empty: standard error.
    std::string file;
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
    platform_section platform;
    limits_section limits;
    log_section log;
    trace_section trace;
    measure_section measure;
};

// The settings of the text, or the first fault as one line:
// "file:line: section.key: what is wrong; allowed: ...".
result<node_settings> parse_settings(std::string_view text,
                                     std::string_view file_name);

// The settings of a file, or why there are none; also if it can't be read.
result<node_settings> load_settings(std::string const& file_name);

// Every known key as "section.key", in the order of the documentation.
std::vector<std::string> known_keys();

} // namespace plantaintally::settings
