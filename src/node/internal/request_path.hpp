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
struct sending_outcome
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
    bool is_unsent = false;
    // True if another node refused the request and told the verdict.
    bool is_peer_word = false;
    // True if the node beside the upstream that refused lets it be repeated.
    bool is_repeat_granted = false;
    // The level at which a peer refused, or zero.
    std::uint32_t level = 0;
};

// arrive.cpp: takes a request in and sends it on its way.
void handle_arrival(state& node, request_arrived const& arrived, step& current);

// route.cpp: chooses the member that serves a request of which this node is
// the origin, and sends it there.
void route_request(state& node, exchange& item, step& current);
void forward(state& node,
             exchange& item,
             std::string const& address,
             step& current);
// Lets another member execute a request whose key this node is the home of.
void delegate_execution(state& node, exchange& item, step& current);

// keyed.cpp: the request has reached its presumed home or its upstream's node.
void serve_here(state& node, exchange& item, step& current);
void handle_resolved_claims(state& node, step& current);
// Tells the protocol how an execution ended and answers the duplicates.
// Returns true if the protocol keeps the attempt's answer.
bool settle_key(state& node,
                exchange& item,
                sending_outcome const& ended,
                step& current);

// admit.cpp: admission at the own upstream, and dispatch.
// True if this node hands out permits to repeat what its upstream refused.
bool grants_repeats(state const& node);
void admit_here(state& node, exchange& item, step& current);
void serve_queue(state& node, step& current);
void refuse_waiting(state& node,
                    std::vector<admission::refused_request> const& refused,
                    step& current);

// attempt.cpp: a sending has ended.
void handle_answer(state& node,
                   attempt_answered const& answered,
                   step& current);
void handle_failure(state& node, attempt_failed const& failed, step& current);

// conclude.cpp: retries the request, or answers it and forgets it. The
// exchange must not be used after these.
void end_sending(state& node,
                 exchange& item,
                 sending_outcome const& ended,
                 step& current);
void conclude(state& node,
              exchange& item,
              sending_outcome const& ended,
              step& current);
void refuse(state& node,
            exchange& item,
            refusal reason,
            std::string_view detail,
            step& current);

// answer.cpp: the effects that answer an exchange.
void answer_exchange(state& node,
                     exchange& item,
                     sending_outcome const& ended,
                     step& current);
hop_report make_report(state& node,
                       exchange const& item,
                       sending_outcome const& ended,
                       step& current);

// abandon.cpp: the sender is gone, or its time is over.
void handle_caller_gone(state& node, exchange_id id, step& current);
void handle_exchange_timers(state& node, step& current);

// downstream.cpp: calls that the upstream makes while it runs a request.
exchange* find_parent(state& node, std::string_view trace_id);
void attach_child(exchange& parent, exchange& child, instant now);
void detach_child(state& node,
                  exchange const& child,
                  sending_outcome const& ended,
                  instant now);
// The verdict of the exchange if its sending ended with `own`.
verdict fold_verdict(exchange const& item, verdict own);
// True for a refusal, and for an answer that tells of a failure.
bool has_failed(sending_outcome const& ended);
bool was_shed_below(exchange const& item, sending_outcome const& ended);

// upstream.cpp: the upstream's announcements, drains and the planned stop.
void handle_announcement(state& node,
                         upstream_announced const& announced,
                         step& current);
void handle_drain(state& node, step& current);
void handle_report(state& node,
                   upstream_reported const& reported,
                   step& current);
void follow_departures(state& node,
                       departures::outcome const& ended,
                       step& current);
// The upstream can't be reached, or is another one than it said.
void note_upstream_lost(state& node, std::string_view why, step& current);
// Takes an upstream that no longer reports for gone.
void watch_upstream(state& node, step& current);
std::optional<instant> upstream_deadline(state const& node);
void handle_upstream_gone(state& node, step& current);
void handle_stop(state& node, step& current);
void follow_configuration(state& node, step& current);
// Tells the callers' side whether the node takes work, and its limits.
void follow_routes(state& node, step& current);
void follow_members(state& node, step& current);
void finish_stop(state& node, step& current);

// baseline.cpp: the way of a request with every policy off.
void route_blindly(state& node, exchange& item, step& current);
void dispatch_blindly(state& node, exchange& item, step& current);
bool retry_blindly(state& node,
                   exchange& item,
                   sending_outcome const& ended,
                   step& current);

// operator_hook.cpp: an operator's command, and queries over many nodes.
void handle_command(state& node, operator_command const& asked, step& current);
void handle_query(state& node,
                  node_id const& sender,
                  query::message const& received,
                  step& current);

// Ends the attempt that the exchange has under way.
sending take_sending(state& node, exchange& item);

// Starts an attempt of the exchange; the effect is left to the caller.
sending& start_sending(state& node,
                       exchange& item,
                       std::string peer,
                       std::uint32_t passed_retries,
                       step& current);
// Sends the request to the own upstream, without admission.
void dispatch(state& node, exchange& item, step& current);

// The verdict of a refusal by a node that doesn't know the key's history.
verdict entrance_verdict(exchange const& item);

// Counts one occurrence for the exchange's service and rank.
void count(state& node,
           exchange const& item,
           count_kind kind,
           std::string_view reason,
           step& current);

} // namespace plantaintally::node
