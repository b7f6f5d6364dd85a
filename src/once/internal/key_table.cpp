#include "once/internal/key_table.hpp"

#include "once/internal/epoch_book.hpp"

namespace plantaintally::once
{

namespace
{

void schedule_expiry(state& once,
                     key_record& recorded,
                     std::string const& key,
                     step& current)
{
    recorded.expires_at =
        current.now.monotonic + key_retention(once.startup_options);
    once.expiries.push_back({recorded.expires_at, key});
}

void remove_if_expired(state& once, key_expiry const& due, step& current)
{
    auto const known = once.keys.find(due.key);
    if (known == once.keys.end())
    {
        return;
    }
    key_record const& recorded = known->second;
    if (!recorded.outcome || recorded.expires_at != due.at)
    {
        return;
    }
    if (recorded.outcome->attempt.value != 0)
    {
        current.out.push_back(release_attempt{recorded.outcome->attempt});
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
    accepted.exchange = request.exchange;
    once.keys.insert_or_assign(request.key, std::move(accepted));
    once.running_keys.insert_or_assign(request.exchange, request.key);
}

void record_transferred_key(state& once,
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
    schedule_expiry(once, known->second, key, current);
}

std::optional<claim_decision> claim_recorded_key(state const& once,
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
        return join_running{known->second.exchange};
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
        remove_if_expired(once, once.expiries.front(), current);
        once.expiries.pop_front();
    }
}

void finish_key(state& once,
                exchange_id running,
                key_outcome const& outcome,
                step& current)
{
    auto const execution = once.running_keys.find(running);
    if (execution == once.running_keys.end())
    {
        return;
    }
    std::string const key = execution->second;
    once.running_keys.erase(execution);
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
    schedule_expiry(once, known->second, key, current);
}

} // namespace plantaintally::once
