#include "once/internal/key_table.hpp"

#include "once/internal/epoch_book.hpp"

namespace plantaintally::once
{

namespace
{

void keep_until_expiry(state& once,
                       key_record& kept,
                       std::string const& key,
                       step& current)
{
    kept.expires_at = current.now.monotonic + key_lifetime(once.own);
    once.expiries.push_back({kept.expires_at, key});
}

void forget_key(state& once, key_expiry const& due, step& current)
{
    auto const known = once.keys.find(due.key);
    if (known == once.keys.end())
    {
        return;
    }
    key_record const& kept = known->second;
    if (!kept.outcome || kept.expires_at != due.at)
    {
        return;
    }
    if (kept.outcome->attempt.value != 0)
    {
        current.out.push_back(release_attempt{kept.outcome->attempt});
    }
    once.keys.erase(known);
}

} // namespace

void record_key(state& once,
                std::string cell,
                claim_request const& request,
                step& current)
{
    record(current,
           {},
           "once",
           "key-accepted",
           "cell=" + cell + " key=" + request.key);
    key_record accepted;
    accepted.cell = std::move(cell);
    accepted.running = request.exchange;
    once.keys.insert_or_assign(request.key, std::move(accepted));
    once.running.insert_or_assign(request.exchange, request.key);
}

void record_received_key(state& once,
                         std::string cell,
                         std::string const& key,
                         step& current)
{
    auto const [known, is_new] = once.keys.try_emplace(key);
    if (!is_new)
    {
        return;
    }
    known->second.cell = std::move(cell);
    known->second.outcome = key_outcome{};
    keep_until_expiry(once, known->second, key, current);
}

std::optional<claim_decision> claim_recorded(state const& once,
                                             std::string_view key)
{
    auto const known = once.keys.find(key);
    if (known == once.keys.end())
    {
        return std::nullopt;
    }
    std::optional<key_outcome> const& outcome = known->second.outcome;
    if (!outcome)
    {
        return join_running{known->second.running};
    }
    if (outcome->attempt.value == 0)
    {
        return refuse_key{outcome->outcome, refusal::key_history_unknown, {}};
    }
    return replay_answer{outcome->attempt, outcome->report};
}

key_history recorded_history(state const& once, std::string_view key)
{
    auto const known = once.keys.find(key);
    if (known == once.keys.end())
    {
        return key_history::never_seen;
    }
    std::optional<key_outcome> const& outcome = known->second.outcome;
    if (!outcome)
    {
        return key_history::running;
    }
    bool const has_answer = outcome->attempt.value != 0;
    return has_answer ? key_history::ran : key_history::may_have_run;
}

void expire_keys(state& once, step& current)
{
    while (!once.expiries.empty() &&
           once.expiries.front().at <= current.now.monotonic)
    {
        forget_key(once, once.expiries.front(), current);
        once.expiries.pop_front();
    }
}

void finish_key(state& once,
                exchange_id running,
                key_outcome const& outcome,
                step& current)
{
    auto const execution = once.running.find(running);
    if (execution == once.running.end())
    {
        return;
    }
    std::string const key = execution->second;
    once.running.erase(execution);
    auto const known = once.keys.find(key);
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
    keep_until_expiry(once, known->second, key, current);
}

} // namespace plantaintally::once
