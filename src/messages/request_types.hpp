// Plain types of a request on its way through the nodes.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "base/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantaintally
{

// The listener that a request came in by; trust follows the socket.
enum class request_source
{
    caller,
    peer,
    local
};

// What the drivers read of a request's head. The body stays in the driver,
// under the exchange's id.
struct request_head
{
    std::string trace_id;
    // The authority that the request was sent to, in lower case without port.
    std::string host;
    std::string service;
    std::string method;
    std::string target;
    std::string idempotency_key;
    // Identity used for fairness inside a rank: the remote IP of an outside
    // caller, the calling service of a local call; peers pass it on.
    std::string caller;
    // Time left as stated by the caller; absent: the rank's own deadline.
    std::optional<duration> time_left;
    std::uint64_t body_bytes = 0;

    bool operator==(request_head const&) const = default;
};

// What the operators' route says of a request.
struct route_terms
{
    // True if the request may run more than once.
    bool is_repeatable = false;
    // Time left until an answer earns less than its full worth.
    duration aim_left{};

    bool operator==(route_terms const&) const = default;
};

// What a node tells the next node about a request; only read from the peer
// listener.
struct hop_context
{
    // The service that the entrance has chosen; empty: the one that the
    // authority names.
    std::string service;
    std::string rank;
    std::uint32_t urgency = 0;
    // Retries that the rest of the chain may still spend. Each execution of a
    // call beyond its first costs one, at any hop, so no call of the chain is
    // executed more than once plus this number.
    std::uint32_t retries_left = 0;
    // Number of nodes that the request has passed since its entrance.
    std::uint32_t depth = 0;
    // True if the sender takes the receiver for the home of the key.
    bool to_key_home = false;
    // True if a home that has recorded the key delegates only the execution.
    bool is_delegated = false;
    // True if the sender would have shed the request by the level that it
    // knows, and sends it to find out whether that still holds.
    bool is_probe = false;
    // True if the entrance has tried the request before; it counts as a repeat
    // even if no upstream was handed it.
    bool is_repeat = false;
    // What the entrance has read of the operators' route; absent without one.
    std::optional<route_terms> route;
    hybrid_time sent_at;

    bool operator==(hop_context const&) const = default;
};

// What a node tells the previous node together with an answer or a refusal.
struct hop_report
{
    verdict outcome = verdict::may_have_run;
    // Set if the answer is a node's refusal and not an upstream's answer.
    std::optional<refusal> reason;
    // True if an upstream was handed the request, whatever became of it.
    bool has_reached_upstream = false;
    // Executions of calls in this subtree of the chain, retries included.
    std::uint32_t attempts = 0;
    // The unspent part of the retries handed down.
    std::uint32_t retries_left = 0;
    // The lowest urgency still admitted at this node and in the subtree below
    // it, for requests of this rank; zero admits everything.
    std::uint32_t admission_level = 0;
    // Requests running and queued at the node, in thousandths of its limit.
    std::uint32_t load_permille = 0;
    bool is_draining = false;
    // True if the node lets the sender repeat the request out of its own part
    // of the fleet's budget.
    bool is_repeat_granted = false;
    // With reason not_key_home: the address of the home in the sender's epoch.
    std::string key_home;
    duration retry_after{};
    hybrid_time sent_at;

    bool operator==(hop_report const&) const = default;
};

// What the upstream beside a node states of itself when it announces itself.
struct upstream_announcement
{
    std::string service;
    // host:port on loopback.
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    // Time from the announcement until full speed is reached.
    duration cold_start{};
    // Names this start of the upstream; empty if it tells no name.
    std::string instance;

    bool operator==(upstream_announcement const&) const = default;
};

// One start of the upstream beside a node, and which of its reports this is.
struct upstream_incarnation
{
    std::string instance;
    // Start of the upstream, in milliseconds since the Unix epoch; zero if it
    // does not tell.
    std::uint64_t born_ms = 0;
    // Grows with each report of the same life; zero if it does not tell.
    std::uint64_t sequence = 0;

    bool operator==(upstream_incarnation const&) const = default;
};

// What an upstream says that it does.
enum class upstream_phase
{
    ready,
    draining,
    gone
};

// How an attempt ended without a whole answer.
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

// One row of an answer to an operator, by column.
using table_row = std::vector<std::string>;

// The answer to an operator's query: typed enough to print and to merge.
struct answer_table
{
    std::vector<std::string> columns;
    std::vector<table_row> rows;

    bool operator==(answer_table const&) const = default;
};

} // namespace plantaintally
