// Types that describe a request as it passes through the nodes.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "base/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally
{

// The listener that received a request. It determines how far the request's
// headers are trusted.
enum class request_source
{
    caller,
    peer,
    local
};

// The fields that drivers extract from a request's head. The driver keeps the
// body, indexed by the exchange's id.
struct request_head
{
    std::string trace_id;
    // The request's authority, in lower case and without the port.
    std::string host;
    std::string service;
    std::string method;
    std::string target;
    std::string idempotency_key;
    // Identity used for fairness within a rank: the remote IP of an outside
    // caller, or the calling service of a local call. Peers pass it on.
    std::string caller;
    // Time left until the caller's deadline; if absent, the deadline of the
    // rank applies.
    std::optional<duration> time_left;
    std::uint64_t body_bytes = 0;
    // True if the request came from a process on the node's own machine. Behind
    // a caller listener that is the upstream, which makes a downstream call.
    bool is_from_own_host = false;

    bool operator==(request_head const&) const = default;
};

// The terms of the operators' route that apply to a request.
struct route_terms
{
    // True if the request may run more than once.
    bool is_repeatable = false;
    // Time left within which an answer earns its full value.
    duration aim_left{};

    bool operator==(route_terms const&) const = default;
};

// The context of a request that a node passes to the next node. It is accepted
// on the peer listener only.
struct hop_context
{
    // The service chosen by the entrance node; if empty, the authority names
    // the service.
    std::string service;
    std::string rank;
    std::uint32_t urgency = 0;
    // Retries that the rest of the call chain may still spend. Each execution
    // of a call after its first costs one retry at any hop, so no call of the
    // chain is executed more than 1 + retries_left times.
    std::uint32_t retries_left = 0;
    // Number of hops since the entrance node.
    std::uint32_t depth = 0;
    // True if the sender considers the receiver to be the home node of the
    // idempotency key.
    bool to_key_home = false;
    // True if the home node has recorded the key and delegates only the
    // execution.
    bool is_delegated = false;
    // True if the sender would have shed the request at the receiver's last
    // known admission level, and sends it to find out whether that level still
    // applies.
    bool is_probe = false;
    // True if the entrance node has tried the request before. It counts as a
    // repeat even if no upstream has received it.
    bool is_repeat = false;
    // The terms that the entrance node found in the operators' route; absent if
    // no route applies.
    std::optional<route_terms> route;
    hybrid_time sent_at;

    bool operator==(hop_context const&) const = default;
};

// The report that a node returns to the previous node with an answer or a
// refusal.
struct hop_report
{
    verdict outcome = verdict::may_have_run;
    // Set if a node refused the request; absent for an upstream's answer.
    std::optional<refusal> reason;
    // True if the request was handed to an upstream, whatever the result.
    bool has_reached_upstream = false;
    // Executions of calls in this subtree of the call chain, including retries.
    std::uint32_t attempts = 0;
    // Retries of hop_context::retries_left that were not spent.
    std::uint32_t retries_left = 0;
    // The lowest urgency that this node and the subtree below it still admit
    // for requests of this rank; zero admits everything.
    std::uint32_t admission_level = 0;
    // Running and queued requests at the node, in thousandths of its
    // concurrency limit.
    std::uint32_t load_permille = 0;
    bool is_draining = false;
    // True if the request was refused or failed because this upstream, or one
    // that it calls, has no capacity left.
    bool lacks_capacity = false;
    // True if this node allows the request's sender to repeat it and charges
    // the repeat to this node's share of the fleet's retry budget.
    bool is_repeat_granted = false;
    // With reason not_key_home, the address of the key's home node in the
    // epoch of the report's sender.
    std::string key_home;
    duration retry_after{};
    hybrid_time sent_at;

    bool operator==(hop_report const&) const = default;
};

// The properties that the upstream beside a node states when it announces
// itself.
struct upstream_announcement
{
    std::string service;
    // host:port on loopback.
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    // Time from the announcement until the upstream reaches full speed.
    duration cold_start{};
    // Name of this incarnation of the upstream; empty if it states none.
    std::string instance;

    bool operator==(upstream_announcement const&) const = default;
};

// One incarnation of the upstream beside a node, from start to exit, and the
// sequence number of its report. A restarted upstream is a new incarnation.
struct upstream_incarnation
{
    std::string instance;
    // Start time of the upstream, in milliseconds since the Unix epoch; zero if
    // unknown.
    std::uint64_t born_ms = 0;
    // Increases with each report of the same incarnation; zero if unknown.
    std::uint64_t sequence = 0;

    bool operator==(upstream_incarnation const&) const = default;
};

// The phase that an upstream reports.
enum class upstream_phase
{
    ready,
    draining,
    gone
};

// Why an attempt ended without a complete answer.
enum class attempt_failure
{
    connect_refused,
    connection_limit,
    closed_before_write,
    closed_after_write,
    timed_out,
    incomplete_answer,
    malformed_answer,
    cancelled
};

// The name of a failure in logs and metrics.
std::string_view to_string(attempt_failure failure);

// One row of an answer to an operator, with one value for each column.
using table_row = std::vector<std::string>;

// The answer to an operator's query, as a table that can be printed and merged
// with the tables of other nodes.
struct answer_table
{
    std::vector<std::string> columns;
    std::vector<table_row> rows;

    bool operator==(answer_table const&) const = default;
};

} // namespace plantaintally
