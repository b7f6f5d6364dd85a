#include "settings/internal/setting_rules.hpp"

#include "settings/internal/rule_builders.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace plantaintally::settings
{

namespace
{

constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t mebibyte = 1024 * kibibyte;
constexpr std::uint64_t gibibyte = 1024 * mebibyte;
constexpr std::uint64_t hour_ms = 3'600'000;
constexpr double max_termination_grace_s = 3'600;
constexpr std::uint64_t max_connection_limit = 100'000;

constexpr std::string_view allowed_endpoint =
    "IP:PORT with a port from 1 to 65535";

bool is_name(std::string_view text)
{
    constexpr std::size_t max_length = 64;
    constexpr std::string_view name_characters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= max_length &&
           text.find_first_not_of(name_characters) == std::string_view::npos;
}

std::string assign_zone(node_settings& target, std::string_view text)
{
    if (!is_name(text))
    {
        return "'" + std::string(text) + "' is not a valid name";
    }
    target.node.availability_zone = std::string(text);
    return {};
}

std::string assign_local(node_settings& target, std::string_view text)
{
    auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        return "'" + std::string(text) + "': " + parsed.error().message;
    }
    auto const& host = parsed.value().host;
    if (!host.starts_with("127.") && host != "::1")
    {
        return "'" + std::string(text) + "' is not a loopback address";
    }
    target.node.local_address = std::move(parsed.value());
    return {};
}

std::string assign_peer(node_settings& target, std::string_view text)
{
    auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        return "'" + std::string(text) + "': " + parsed.error().message;
    }
    if (parsed.value().host == "0.0.0.0" || parsed.value().host == "::")
    {
        return "'" + std::string(text) + "' does not identify a single node";
    }
    if (parsed.value().port == std::numeric_limits<std::uint16_t>::max())
    {
        return "port 65535 leaves no next port for control messages";
    }
    target.node.peer_address = std::move(parsed.value());
    return {};
}

std::string_view take_list_item(std::string_view& list)
{
    auto const comma = list.find(',');
    auto item = list.substr(0, comma);
    list.remove_prefix(comma == std::string_view::npos ? list.size()
                                                       : comma + 1);
    while (!item.empty() && item.front() == ' ')
    {
        item.remove_prefix(1);
    }
    while (!item.empty() && item.back() == ' ')
    {
        item.remove_suffix(1);
    }
    return item;
}

std::string assign_contacts(node_settings& target, std::string_view text)
{
    target.node.contacts.clear();
    while (!text.empty())
    {
        auto const item = take_list_item(text);
        auto const parsed = parse_endpoint(item);
        if (!parsed)
        {
            return "'" + std::string(item) + "': " + parsed.error().message;
        }
        target.node.contacts.push_back(to_string(parsed.value()));
    }
    return {};
}

void add_node_rules(std::vector<setting_rule>& rules)
{
    rules.push_back({"node",
                     "availability_zone",
                     "1 to 64 letters, digits, '-', '_' or '.'",
                     true,
                     assign_zone});
    rules.push_back({"node",
                     "peer_address",
                     "IP:PORT of this node alone, with a port from 1 to 65534",
                     true,
                     assign_peer});
    rules.push_back(endpoint_rule("node",
                                  "caller_address",
                                  allowed_endpoint,
                                  [](node_settings& target) -> endpoint&
                                  { return target.node.caller_address; }));
    rules.push_back({"node",
                     "local_address",
                     "IP:PORT on loopback (127.0.0.0/8 or [::1])",
                     true,
                     assign_local});
    rules.push_back({"node",
                     "contacts",
                     "IP:PORT, IP:PORT, ... or empty",
                     false,
                     assign_contacts});
    rules.push_back(integer_rule("node",
                                 "seed",
                                 {0, std::numeric_limits<std::uint64_t>::max()},
                                 [](node_settings& target) -> std::uint64_t&
                                 { return target.node.seed; }));
    rules.push_back(decimal_rule("node",
                                 "termination_grace_s",
                                 max_termination_grace_s,
                                 [](node_settings& target) -> double&
                                 { return target.node.termination_grace_s; }));
    rules.push_back(milliseconds_rule("node",
                                      "stop_limit_ms",
                                      {0, hour_ms},
                                      [](node_settings& target) -> milliseconds&
                                      { return target.node.stop_limit; }));
    rules.push_back(milliseconds_rule("node",
                                      "stop_linger_ms",
                                      {0, hour_ms},
                                      [](node_settings& target) -> milliseconds&
                                      { return target.node.stop_linger; }));
    rules.push_back(choice_rule("node",
                                "idempotency_keys",
                                std::to_array<std::string_view>({"on", "off"}),
                                [](node_settings& target, std::size_t index) {
                                    target.node.accepts_idempotency_keys =
                                        index == 0;
                                }));
}

std::string assign_service(node_settings& target, std::string_view text)
{
    if (!text.empty() && !is_name(text))
    {
        return "'" + std::string(text) + "' is not a valid name";
    }
    target.edge.service = std::string(text);
    return {};
}

using optional_endpoint = std::optional<endpoint>;

void add_edge_rules(std::vector<setting_rule>& rules)
{
    rules.push_back(choice_rule(
        "edge",
        "dialect",
        std::to_array<std::string_view>({"native", "platform"}),
        [](node_settings& target, std::size_t index)
        { target.edge.dialect = static_cast<dialect_name>(index); }));
    rules.push_back({"edge",
                     "service",
                     "1 to 64 letters, digits, '-', '_' or '.', or empty",
                     false,
                     assign_service});
    rules.push_back(
        optional_endpoint_rule("edge",
                               "report_address",
                               allowed_endpoint,
                               [](node_settings& target) -> optional_endpoint&
                               { return target.edge.report_address; }));
    rules.push_back(
        optional_endpoint_rule("edge",
                               "ready_address",
                               allowed_endpoint,
                               [](node_settings& target) -> optional_endpoint&
                               { return target.edge.ready_address; }));
    rules.push_back(
        optional_endpoint_rule("edge",
                               "metrics_address",
                               allowed_endpoint,
                               [](node_settings& target) -> optional_endpoint&
                               { return target.edge.metrics_address; }));
    rules.push_back(
        milliseconds_rule("edge",
                          "upstream_silence_ms",
                          {0, hour_ms},
                          [](node_settings& target) -> milliseconds&
                          { return target.edge.upstream_silence_timeout; }));
    rules.push_back(choice_rule(
        "routes",
        "source",
        std::to_array<std::string_view>({"none", "store"}),
        [](node_settings& target, std::size_t index)
        { target.routes.source = static_cast<route_source>(index); }));
    rules.push_back(decimal_rule("retry",
                                 "budget_ratio",
                                 1,
                                 [](node_settings& target) -> double&
                                 { return target.retry.budget_ratio; }));
    rules.push_back(decimal_rule("retry",
                                 "budget_extra",
                                 1e9,
                                 [](node_settings& target) -> double&
                                 { return target.retry.budget_extra; }));
}

void add_platform_rules(std::vector<setting_rule>& rules)
{
    rules.push_back(endpoint_rule("platform",
                                  "address",
                                  allowed_endpoint,
                                  [](node_settings& target) -> endpoint&
                                  { return target.platform.address; }));
    rules.push_back(milliseconds_rule("platform",
                                      "timeout_ms",
                                      {1, hour_ms},
                                      [](node_settings& target) -> milliseconds&
                                      { return target.platform.timeout; }));
    rules.push_back(
        milliseconds_rule("platform",
                          "poll_interval_ms",
                          {1, hour_ms},
                          [](node_settings& target) -> milliseconds&
                          { return target.platform.poll_interval; }));
    rules.push_back(integer_rule("platform",
                                 "max_connections",
                                 {1, max_connection_limit},
                                 [](node_settings& target) -> std::uint32_t&
                                 { return target.platform.max_connections; }));
}

// A rule for a count or size in the [limits] section.
template <class T>
setting_rule
limit_rule(std::string key, range allowed, T limits_section::*field)
{
    return integer_rule("limits",
                        std::move(key),
                        allowed,
                        [field](node_settings& target) -> T&
                        { return target.limits.*field; });
}

setting_rule limit_timeout_rule(std::string key,
                                milliseconds limits_section::*field)
{
    return milliseconds_rule("limits",
                             std::move(key),
                             {1, hour_ms},
                             [field](node_settings& target) -> milliseconds&
                             { return target.limits.*field; });
}

void add_limit_rules(std::vector<setting_rule>& rules)
{
    using section = limits_section;
    constexpr range connections{1, max_connection_limit};
    for (auto&& rule :
         {limit_rule("max_header_bytes",
                     {kibibyte, mebibyte},
                     &section::max_header_bytes),
          limit_rule("max_body_bytes", {0, gibibyte}, &section::max_body_bytes),
          limit_rule(
              "max_answer_bytes", {1, gibibyte}, &section::max_answer_bytes),
          limit_rule("max_retained_bytes",
                     {mebibyte, 64 * gibibyte},
                     &section::max_retained_bytes),
          limit_rule("max_held_body_bytes",
                     {mebibyte, 64 * gibibyte},
                     &section::max_held_body_bytes),
          limit_rule("max_caller_connections",
                     connections,
                     &section::max_caller_connections),
          limit_rule("max_peer_connections",
                     connections,
                     &section::max_peer_connections),
          limit_rule("max_local_connections",
                     connections,
                     &section::max_local_connections),
          limit_rule("max_connections_per_peer",
                     connections,
                     &section::max_connections_per_peer),
          limit_rule(
              "max_control_links", connections, &section::max_control_links),
          limit_timeout_rule("header_timeout_ms", &section::header_timeout),
          limit_timeout_rule("body_timeout_ms", &section::body_timeout),
          limit_timeout_rule("idle_timeout_ms", &section::idle_timeout),
          limit_timeout_rule("write_timeout_ms", &section::write_timeout),
          limit_timeout_rule("command_timeout_ms", &section::command_timeout)})
    {
        rules.push_back(rule);
    }
}

void add_other_rules(std::vector<setting_rule>& rules)
{
    rules.push_back(
        choice_rule("log",
                    "format",
                    std::to_array<std::string_view>({"plain", "json"}),
                    [](node_settings& target, std::size_t index)
                    { target.log.format = static_cast<log_format>(index); }));
    rules.push_back(choice_rule(
        "log",
        "level",
        std::to_array<std::string_view>({"debug", "info", "warning", "error"}),
        [](node_settings& target, std::size_t index)
        { target.log.level = static_cast<log_level>(index); }));
    rules.push_back(path_rule("log",
                              "file",
                              [](node_settings& target) -> std::string&
                              { return target.log.file; }));
    rules.push_back(
        choice_rule("log",
                    "stream",
                    std::to_array<std::string_view>({"stderr", "stdout"}),
                    [](node_settings& target, std::size_t index)
                    { target.log.stream = static_cast<log_stream>(index); }));
    rules.push_back(path_rule("trace",
                              "file",
                              [](node_settings& target) -> std::string&
                              { return target.trace.file; }));
    rules.push_back(choice_rule("measure",
                                "policies",
                                std::to_array<std::string_view>({"on", "off"}),
                                [](node_settings& target, std::size_t index) {
                                    target.measure.is_policy_enabled =
                                        index == 0;
                                }));
}

std::vector<setting_rule> make_rules()
{
    std::vector<setting_rule> rules;
    add_node_rules(rules);
    add_edge_rules(rules);
    add_platform_rules(rules);
    add_limit_rules(rules);
    add_other_rules(rules);
    return rules;
}

} // namespace

std::span<setting_rule const> setting_rules()
{
    static std::vector<setting_rule> const rules = make_rules();
    return rules;
}

} // namespace plantaintally::settings
