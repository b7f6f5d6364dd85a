// The steps of processing a request at a node; one source file each.
#pragma once

#include "messages/events.hpp"
#include "node/state.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace plantaintally::node
{

// The result of an attempt, or the reason why none was made.
struct attempt_result
{
    verdict outcome = verdict::not_run;
    // Absent if the upstream answered.
    std::optional<refusal> reason;
    // The attempt that holds the upstream's answer.
    std::optional<attempt_id> answer;
    // True if that attempt belongs to this exchange, and its answer is released
    // with the exchange.
    bool owns_answer = false;
    std::uint32_t status = 0;
    std::string detail;
    duration retry_after{};
    // True if the attempt did not reach an upstream.
    bool is_undelivered = false;
    // True if another node refused the request and reported the verdict.
    bool is_peer_verdict = false;
    // True if the node beside the refusing upstream granted a permit for a
    // retry.
    bool is_repeat_granted = false;
    // True if the local upstream, or one that it calls, has no capacity left.
    bool lacks_capacity = false;
    // The admission level at which the request was refused, or zero.
    std::uint32_t level = 0;
};

// arrive.cpp: accepts a new request and passes it to routing or admission.
void handle_arrival(state& node, request_arrived const& arrived, step& current);

// route.cpp: selects the member that serves a request of which this node is the
// origin, and sends the request to it.
void route_request(state& node, exchange& request, step& current);
void forward(state& node,
             exchange& request,
             std::string const& address,
             step& current);
// Sends a request to another member for execution; this node stays the home of
// its key.
void delegate_execution(state& node, exchange& request, step& current);

// keyed.cpp: the request has reached the presumed home of its key, or the node
// beside its upstream.
void serve_locally(state& node, exchange& request, step& current);
void handle_resolved_claims(state& node, step& current);
// Reports the result of an execution to the at-most-once protocol and answers
// the duplicates. Returns true if the protocol retains the answer.
bool settle_key(state& node,
                exchange& request,
                attempt_result const& result,
                step& current);

// admit.cpp: admission at the local upstream, and dispatch.
// True if this node grants permits to retry requests that its upstream refused.
bool grants_retry_permits(state const& node);
void admit_locally(state& node, exchange& request, step& current);
void dispatch_queued(state& node, step& current);
void refuse_queued(state& node,
                   std::vector<admission::refused_request> const& refused,
                   step& current);

// attempt.cpp: handles the end of an attempt.
void handle_answer(state& node,
                   attempt_answered const& answered,
                   step& current);
void handle_failure(state& node, attempt_failed const& failed, step& current);

// conclude.cpp: retries the request, or answers it and erases the exchange. The
// exchange must not be used after these calls.
void retry_or_conclude(state& node,
                       exchange& request,
                       attempt_result const& result,
                       step& current);
void conclude(state& node,
              exchange& request,
              attempt_result const& result,
              step& current);
void refuse(state& node,
            exchange& request,
            refusal reason,
            std::string_view detail,
            step& current);

// answer.cpp: the effects that answer an exchange.
void answer_exchange(state& node,
                     exchange& request,
                     attempt_result const& result,
                     step& current);
hop_report make_report(state& node,
                       exchange const& request,
                       attempt_result const& result,
                       step& current);

// abandon.cpp: the sender has disconnected, or a timer of the exchange has
// fired.
void handle_caller_gone(state& node, exchange_id id, step& current);
void handle_exchange_timers(state& node, step& current);
// Answers all requests that have no answer yet, since the process is about to
// exit: those that were not passed on did not run, the others may have.
void answer_open_requests(state& node, step& current);

// downstream.cpp: calls that the upstream makes while it executes a request.
exchange* find_parent(state& node, std::string_view trace_id);
void attach_child(exchange& parent, exchange& child, instant now);
void detach_child(state& node,
                  exchange const& child,
                  attempt_result const& result,
                  instant now);
// Combines the verdict of the exchange's last attempt with the verdicts of its
// downstream calls.
verdict fold_verdict(exchange const& request, verdict local_outcome);
// True for a refusal or a server error.
bool has_failed(attempt_result const& result);
bool was_shed_downstream(exchange const& request, attempt_result const& result);

// upstream.cpp: the upstream's announcements, drains and the planned stop.
void handle_announcement(state& node,
                         upstream_announced const& announced,
                         step& current);
void handle_drain(state& node, step& current);
void handle_report(state& node,
                   upstream_reported const& reported,
                   step& current);
void apply_departures(state& node,
                      departures::outcome const& result,
                      step& current);
// The upstream can't be reached, or another instance now uses its address.
void note_upstream_lost(state& node, std::string_view trigger, step& current);
// Considers the upstream gone if it has stopped reporting.
void check_upstream_silence(state& node, step& current);
std::optional<instant> upstream_silence_deadline(state const& node);
void handle_upstream_gone(state& node, step& current);
void handle_stop(state& node, step& current);
void apply_configuration(state& node, step& current);
// Publishes the node's readiness and the callers' limits to the drivers.
void publish_readiness(state& node, step& current);
void update_once_members(state& node, step& current);
void finish_stop(state& node, step& current);

// baseline.cpp: request processing with all policies disabled.
void route_without_policy(state& node, exchange& request, step& current);
void dispatch_without_policy(state& node, exchange& request, step& current);
bool retry_without_policy(state& node,
                          exchange& request,
                          attempt_result const& result,
                          step& current);

// operator_hook.cpp: an operator's commands, and queries to other nodes.
void handle_command(state& node,
                    operator_command const& received,
                    step& current);
void handle_query(state& node,
                  node_id const& sender,
                  query::message const& received,
                  step& current);

// Removes the exchange's attempt in progress and returns it.
running_attempt remove_current_attempt(state& node, exchange& request);

// Starts an attempt of the exchange. The calling function must emit the effect
// that sends it.
running_attempt& start_attempt(state& node,
                               exchange& request,
                               std::string peer,
                               std::uint32_t passed_retries,
                               step& current);
// Sends the request to the local upstream without an admission check.
void dispatch(state& node, exchange& request, step& current);

// The verdict of a refusal by this node without an attempt: may_have_run if the
// request has a key whose history this node does not know, otherwise not_run.
verdict entrance_verdict(exchange const& request);

// Increments a counter of the exchange's service, rank and caller.
void count(state& node,
           exchange const& request,
           count_kind kind,
           std::string_view reason,
           step& current);

} // namespace plantaintally::node
