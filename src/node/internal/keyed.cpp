#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// Applies the decision of the at-most-once protocol to an exchange.
struct claim_visitor
{
    state& node;
    exchange& request;
    step& current;

    void operator()(once::run_now const&) const
    {
        this->request.is_claimed = true;
        admit_locally(this->node, this->request, this->current);
    }

    void operator()(once::join_running const& joined) const
    {
        exchange* running = find(this->node.table, joined.running);
        if (running == nullptr)
        {
            return refuse(this->node,
                          this->request,
                          refusal::key_history_unknown,
                          "an earlier request with this key may have run",
                          this->current);
        }
        running->joiners.push_back(this->request.id);
        this->request.phase = exchange_phase::joined;
        count(this->node,
              this->request,
              count_kind::duplicate_joined,
              {},
              this->current);
        record(this->current,
               this->request.head.trace_id,
               "once",
               "joined",
               "running=" + std::to_string(joined.running.value));
    }

    void operator()(once::replay_answer const& replayed) const
    {
        attempt_result result;
        result.outcome = replayed.report.outcome;
        result.reason = replayed.report.reason;
        if (replayed.attempt != attempt_id{})
        {
            result.answer = replayed.attempt;
        }
        else if (!result.reason)
        {
            result.reason = refusal::attempt_failed;
        }
        count(this->node,
              this->request,
              count_kind::duplicate_replayed,
              {},
              this->current);
        record(
            this->current, this->request.head.trace_id, "once", "replayed", {});
        this->request.executions = replayed.report.attempts;
        conclude(this->node, this->request, result, this->current);
    }

    void operator()(once::refuse_key const& refused) const
    {
        attempt_result result;
        result.outcome = refused.outcome;
        result.reason = refused.reason;
        result.retry_after = refused.retry_after;
        result.detail = "the home of the key refused the request";
        retry_or_conclude(this->node, this->request, result, this->current);
    }

    void operator()(once::redirect_claim const& redirected) const
    {
        this->request.key_home = redirected.address;
        attempt_result result;
        result.outcome = verdict::may_have_run;
        result.reason = refusal::not_key_home;
        result.detail = "another node is the home of the key";
        retry_or_conclude(this->node, this->request, result, this->current);
    }

    void operator()(once::decide_later const&) const
    {
        this->request.phase = exchange_phase::awaiting_claim;
        record(
            this->current, this->request.head.trace_id, "once", "waiting", {});
    }
};

void claim_locally(state& node, exchange& request, step& current)
{
    once::claim_request claim;
    claim.exchange = request.id;
    claim.service = request.head.service;
    claim.key = request.head.idempotency_key;
    once::claim_decision const decision =
        once::claim_key(node.once, claim, current);
    std::visit(claim_visitor{node, request, current}, decision);
}

bool is_service_member(state const& node, exchange const& request)
{
    auto const members =
        membership::members_of(node.membership, request.head.service);
    return std::ranges::any_of(
        members,
        [&](membership::member_record const& member)
        { return member.node == node.startup_options.self; });
}

// The execution was granted to an exchange that no longer exists, so it never
// runs.
void release_claim(state& node, exchange_id id, step& current)
{
    once::key_outcome result;
    result.outcome = verdict::not_run;
    once::finish_key(node.once, id, result, current);
}

void answer_joiner(state& node,
                   exchange const& running,
                   exchange_id joiner,
                   attempt_result const& result,
                   step& current)
{
    exchange* request = find(node.table, joiner);
    if (request == nullptr)
    {
        return;
    }
    request->executions = running.executions;
    conclude(node, *request, result, current);
}

} // namespace

void serve_locally(state& node, exchange& request, step& current)
{
    if (!is_keyed(request) || request.hop.is_delegated)
    {
        return admit_locally(node, request, current);
    }
    if (is_service_member(node, request))
    {
        return claim_locally(node, request, current);
    }
    auto const members =
        membership::members_of(node.membership, request.head.service);
    request.key_home =
        once::presumed_home(members, request.head.idempotency_key);
    attempt_result result;
    result.outcome = verdict::may_have_run;
    result.reason = refusal::not_key_home;
    result.detail = "this node is not a member of the service";
    retry_or_conclude(node, request, result, current);
}

void handle_resolved_claims(state& node, step& current)
{
    for (auto const& resolved : once::take_resolved_claims(node.once, current))
    {
        exchange* request = find(node.table, resolved.exchange);
        if (request != nullptr)
        {
            request->phase = exchange_phase::arrived;
            std::visit(claim_visitor{node, *request, current},
                       resolved.decision);
        }
        else if (std::holds_alternative<once::run_now>(resolved.decision))
        {
            release_claim(node, resolved.exchange, current);
        }
    }
}

bool settle_key(state& node,
                exchange& request,
                attempt_result const& result,
                step& current)
{
    if (!request.is_claimed)
    {
        return false;
    }
    request.is_claimed = false;
    once::key_outcome outcome;
    outcome.outcome = result.outcome;
    outcome.attempt = result.answer.value_or(attempt_id{});
    outcome.report = make_report(node, request, result, current);
    once::finish_key(node.once, request.id, outcome, current);
    std::vector<exchange_id> const joiners = std::move(request.joiners);
    request.joiners.clear();
    attempt_result joiner_result = result;
    joiner_result.owns_answer = false;
    for (exchange_id joiner : joiners)
    {
        answer_joiner(node, request, joiner, joiner_result, current);
    }
    return result.answer.has_value() && result.outcome != verdict::not_run;
}

} // namespace plantaintally::node
