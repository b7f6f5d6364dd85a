#include "once/once.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

claim claim_known(key_record const& known)
{
    if (!known.outcome)
    {
        return join_running{known.running};
    }
    if (known.outcome->attempt.value == 0)
    {
        return refuse_key{
            known.outcome->outcome, refusal::key_history_unknown, {}};
    }
    return replay_answer{known.outcome->attempt, known.outcome->report};
}

claim accept_key(state& once, claim_request const& request)
{
    if (once.keys.size() >= once.own.key_limit)
    {
        return refuse_key{verdict::not_run, refusal::key_table_full, {}};
    }
    once.keys.emplace(request.key, key_record{request.exchange, {}});
    once.running.emplace(request.exchange, request.key);
    return run_now{};
}

} // namespace

void start(state& /*once*/, step& /*current*/) {}

claim claim_key(state& once, claim_request const& request, step& /*current*/)
{
    auto const known = once.keys.find(request.key);
    if (known != once.keys.end())
    {
        return claim_known(known->second);
    }
    std::string const home = presumed_home(once.members, request.key);
    if (!home.empty() && home != once.own.self.address)
    {
        return redirect_home{home};
    }
    return accept_key(once, request);
}

void finish_key(state& once,
                exchange_id running,
                key_outcome const& outcome,
                step& /*current*/)
{
    auto const execution = once.running.find(running);
    if (execution == once.running.end())
    {
        return;
    }
    auto const known = once.keys.find(execution->second);
    once.running.erase(execution);
    if (known == once.keys.end())
    {
        return;
    }
    if (outcome.outcome == verdict::not_run)
    {
        once.keys.erase(known);
        return;
    }
    known->second.outcome = outcome;
}

std::vector<resolved_claim> take_resolved(state& /*once*/, step& /*current*/)
{
    return {};
}

void handle_members(state& once,
                    std::string_view /*service*/,
                    std::span<membership::member_record const> members,
                    std::span<membership::member_record const> /*fleet*/,
                    step& /*current*/)
{
    once.members.assign(members.begin(), members.end());
}

void handle_message(state& /*once*/,
                    node_id const& /*sender*/,
                    message const& /*received*/,
                    step& /*current*/)
{
}

void handle_store(state& /*once*/,
                  store_call_id /*call*/,
                  store_result const& /*result*/,
                  step& /*current*/)
{
}

void handle_time(state& /*once*/, step& /*current*/) {}

std::optional<instant> next_deadline(state const& /*once*/)
{
    return std::nullopt;
}

bool is_handed_over(state const& once)
{
    return once.running.empty();
}

void hand_over(state& /*once*/, step& /*current*/) {}

std::string presumed_home(std::span<membership::member_record const> members,
                          std::string_view key)
{
    auto const weight = [key](membership::member_record const& member)
    {
        return rendezvous_weight(member.node.address, key);
    };
    auto const home = std::ranges::max_element(members, {}, weight);
    return home == members.end() ? std::string() : home->node.address;
}

} // namespace plantaintally::once
