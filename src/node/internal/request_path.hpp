// The steps of a request's way through a node; one source file each.
#pragma once

#include "messages/events.hpp"
#include "node/state.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace plantaintally::node
{

// How a sending ended, or why there was none.
struct attempt_result
{
    verdict outcome = verdict::not_run;
    // Absent if an upstream answered.
    std::optional<refusal> reason;
    // The attempt that holds the upstream's answer.
    std::optional<attempt_id> answer;
    // True if that attempt is the exchange's own and ends with it.
    bool owns_answer = false;
    std::uint32_t status = 0;
    std::string detail;
    duration retry_after{};
    // True if no upstream was handed the request by this sending.
    bool is_undelivered = false;
    // True if another node refused the request and told the verdict.
    bool is_peer_verdict = false;
    // True if the node beside the upstream that refused lets it be repeated.
    bool is_repeat_granted = false;
    // The level at which a peer refused, or zero.
    std::uint32_t level = 0;
};

// arrive.cpp: takes a request in and sends it on its way.
void handle_arrival(state& node, request_arrived const& arrived, step& current);

// route.cpp: chooses the member that serves a request of which this node is
// the origin, and sends it there.
void route_request(state& node, exchange& request, step& current);
void forward(state& node,
             exchange& request,
             std::string const& address,
             step& current);
// Lets another member execute a request whose key this node is the home of.
void delegate_execution(state& node, exchange& request, step& current);

// keyed.cpp: the request has reached its presumed home or its upstream's node.
void serve_locally(state& node, exchange& request, step& current);
void handle_resolved_claims(state& node, step& current);
// Tells the protocol how an execution ended and answers the duplicates.
// Returns true if the protocol keeps the attempt's answer.
bool settle_key(state& node,
                exchange& request,
                attempt_result const& result,
                step& current);

// admit.cpp: admission at the own upstream, and dispatch.
// True if this node hands out permits to repeat what its upstream refused.
bool grants_retry_permits(state const& node);
void admit_locally(state& node, exchange& request, step& current);
void dispatch_queued(state& node, step& current);
void refuse_queued(state& node,
                   std::vector<admission::refused_work> const& refused,
                   step& current);

// attempt.cpp: a sending has ended.
void handle_answer(state& node,
                   attempt_answered const& answered,
                   step& current);
void handle_failure(state& node, attempt_failed const& failed, step& current);

// conclude.cpp: retries the request, or answers it and forgets it. The
// exchange must not be used after these.
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

// abandon.cpp: the sender is gone, or its time is over.
void handle_caller_gone(state& node, exchange_id id, step& current);
void handle_exchange_timers(state& node, step& current);

// downstream.cpp: calls that the upstream makes while it runs a request.
exchange* find_parent(state& node, std::string_view trace_id);
void attach_child(exchange& parent, exchange& child, instant now);
void detach_child(state& node,
                  exchange const& child,
                  attempt_result const& result,
                  instant now);
// The verdict of the exchange if its sending ended with `own`.
verdict fold_verdict(exchange const& request, verdict local_outcome);
// True for a refusal, and for an answer that tells of a failure.
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
// The upstream can't be reached, or is another one than it said.
void note_upstream_lost(state& node, std::string_view trigger, step& current);
// Takes an upstream that no longer reports for gone.
void check_upstream_silence(state& node, step& current);
std::optional<instant> upstream_silence_deadline(state const& node);
void handle_upstream_gone(state& node, step& current);
void handle_stop(state& node, step& current);
void apply_configuration(state& node, step& current);
// Tells the callers' side whether the node takes work, and its limits.
void publish_readiness(state& node, step& current);
void update_once_members(state& node, step& current);
void finish_stop(state& node, step& current);

// baseline.cpp: the way of a request with every policy off.
void route_without_policy(state& node, exchange& request, step& current);
void dispatch_without_policy(state& node, exchange& request, step& current);
bool retry_without_policy(state& node,
                          exchange& request,
                          attempt_result const& result,
                          step& current);

// operator_hook.cpp: an operator's command, and queries over many nodes.
void handle_command(state& node,
                    operator_command const& received,
                    step& current);
void handle_query(state& node,
                  node_id const& sender,
                  query::message const& received,
                  step& current);

// Ends the attempt that the exchange has under way.
running_attempt remove_current_attempt(state& node, exchange& request);

// Starts an attempt of the exchange; the effect is left to the caller.
running_attempt& start_attempt(state& node,
                               exchange& request,
                               std::string peer,
                               std::uint32_t passed_retries,
                               step& current);
// Sends the request to the own upstream, without admission.
void dispatch(state& node, exchange& request, step& current);

// The verdict of a refusal by a node that doesn't know the key's history.
verdict entrance_verdict(exchange const& request);

// Counts one occurrence for the exchange's service and rank.
void count(state& node,
           exchange const& request,
           count_kind kind,
           std::string_view reason,
           step& current);

} // namespace plantaintally::node
