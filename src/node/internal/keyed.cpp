#include "node/internal/request_path.hpp"

#include <algorithm>

namespace plantaintally::node
{

namespace
{

// Applies the protocol's decision to an exchange.
struct claim_visitor
{
    state& node;
    exchange& item;
    step& current;

    void operator()(once::run_now const&) const
    {
        this->item.is_claimed = true;
        admit_here(this->node, this->item, this->current);
    }

    void operator()(once::join_running const& joined) const
    {
        exchange* running = find(this->node.table, joined.running);
        if (running == nullptr)
        {
            return refuse(this->node,
                          this->item,
                          refusal::key_history_unknown,
                          "an earlier request with this key may have run",
                          this->current);
        }
        running->joiners.push_back(this->item.id);
        this->item.phase = exchange_phase::joined;
        count(this->node,
              this->item,
              count_kind::duplicate_joined,
              {},
              this->current);
        record(this->current,
               this->item.head.trace_id,
               "once",
               "joined",
               "running=" + std::to_string(joined.running.value));
    }

    void operator()(once::replay_answer const& kept) const
    {
        sending_outcome ended;
        ended.outcome = kept.report.outcome;
        ended.reason = kept.report.reason;
        if (kept.attempt != attempt_id{})
        {
            ended.answer = kept.attempt;
        }
        else if (!ended.reason)
        {
            ended.reason = refusal::attempt_failed;
        }
        count(this->node,
              this->item,
              count_kind::duplicate_replayed,
              {},
              this->current);
        record(this->current, this->item.head.trace_id, "once", "replayed", {});
        this->item.executions = kept.report.attempts;
        conclude(this->node, this->item, ended, this->current);
    }

    void operator()(once::refuse_key const& refused) const
    {
        sending_outcome ended;
        ended.outcome = refused.outcome;
        ended.reason = refused.reason;
        ended.retry_after = refused.retry_after;
        ended.detail = "the home of the key refuses it";
        end_sending(this->node, this->item, ended, this->current);
    }

    void operator()(once::redirect_claim const& redirected) const
    {
        this->item.key_home = redirected.address;
        sending_outcome ended;
        ended.outcome = verdict::may_have_run;
        ended.reason = refusal::not_key_home;
        ended.detail = "another node is the home of the key";
        end_sending(this->node, this->item, ended, this->current);
    }

    void operator()(once::decide_later const&) const
    {
        this->item.phase = exchange_phase::waiting_claim;
        record(this->current, this->item.head.trace_id, "once", "waiting", {});
    }
};

void claim_here(state& node, exchange& item, step& current)
{
    once::claim_request asked;
    asked.exchange = item.id;
    asked.service = item.head.service;
    asked.key = item.head.idempotency_key;
    once::claim_decision const decision =
        once::claim_key(node.once, asked, current);
    std::visit(claim_visitor{node, item, current}, decision);
}

bool is_own_service(state const& node, exchange const& item)
{
    auto const members =
        membership::members_of(node.membership, item.head.service);
    return std::ranges::any_of(members,
                               [&](membership::member_record const& member)
                               { return member.node == node.own.self; });
}

// The execution was allowed to a request that is gone: it never runs.
void give_claim_back(state& node, exchange_id id, step& current)
{
    once::key_outcome ended;
    ended.outcome = verdict::not_run;
    once::finish_key(node.once, id, ended, current);
}

void answer_joiner(state& node,
                   exchange const& running,
                   exchange_id joiner,
                   sending_outcome const& ended,
                   step& current)
{
    exchange* item = find(node.table, joiner);
    if (item == nullptr)
    {
        return;
    }
    item->executions = running.executions;
    conclude(node, *item, ended, current);
}

} // namespace

void serve_here(state& node, exchange& item, step& current)
{
    if (!is_keyed(item) || item.hop.is_delegated)
    {
        return admit_here(node, item, current);
    }
    if (is_own_service(node, item))
    {
        return claim_here(node, item, current);
    }
    auto const members =
        membership::members_of(node.membership, item.head.service);
    item.key_home = once::presumed_home(members, item.head.idempotency_key);
    sending_outcome ended;
    ended.outcome = verdict::may_have_run;
    ended.reason = refusal::not_key_home;
    ended.detail = "this node is no member of the service";
    end_sending(node, item, ended, current);
}

void handle_resolved_claims(state& node, step& current)
{
    for (auto const& resolved : once::take_resolved_claims(node.once, current))
    {
        exchange* item = find(node.table, resolved.exchange);
        if (item != nullptr)
        {
            item->phase = exchange_phase::arrived;
            std::visit(claim_visitor{node, *item, current}, resolved.decision);
        }
        else if (std::holds_alternative<once::run_now>(resolved.decision))
        {
            give_claim_back(node, resolved.exchange, current);
        }
    }
}

bool settle_key(state& node,
                exchange& item,
                sending_outcome const& ended,
                step& current)
{
    if (!item.is_claimed)
    {
        return false;
    }
    item.is_claimed = false;
    once::key_outcome outcome;
    outcome.outcome = ended.outcome;
    outcome.attempt = ended.answer.value_or(attempt_id{});
    outcome.report = make_report(node, item, ended, current);
    once::finish_key(node.once, item.id, outcome, current);
    std::vector<exchange_id> const joiners = std::move(item.joiners);
    item.joiners.clear();
    sending_outcome shared = ended;
    shared.owns_answer = false;
    for (exchange_id joiner : joiners)
    {
        answer_joiner(node, item, joiner, shared, current);
    }
    return ended.answer.has_value() && ended.outcome != verdict::not_run;
}

} // namespace plantaintally::node
