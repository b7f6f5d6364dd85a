// Decides what becomes of a keyed request.
#include "once/internal/epoch_book.hpp"
#include "once/internal/key_questions.hpp"
#include "once/internal/key_table.hpp"
#include "once/internal/vouch_book.hpp"

namespace plantaintally::once
{

namespace
{

// A key of the future could be repeated once this home's clock has reached it
// and another home has taken over, so it is not accepted.
std::optional<claim_decision>
check_age(state const& once, std::string_view key, moment const& now)
{
    std::optional<wall_time> const minted = minted_at(key);
    if (!minted)
    {
        return std::nullopt;
    }
    if (*minted < now.wall - once.own.retry_horizon)
    {
        return refuse_key{verdict::may_have_run, refusal::key_too_old, {}};
    }
    if (*minted > now.wall + once.own.wall_clock_skew)
    {
        return refuse_unknown(refusal::key_history_unknown);
    }
    return std::nullopt;
}

// Since when the key's home is this node without a break up to the newest
// epoch, if a majority vouches for one of these epochs; otherwise the epoch is
// zero and this node may not accept the key.
history_start find_accepting_epoch(state const& once,
                                   cell_state const& cell,
                                   std::string_view key,
                                   moment const& now)
{
    for (std::size_t i = cell.epochs.size(); i-- > 0;)
    {
        epoch_progress const& known = cell.epochs[i];
        node_id const* home = home_of(known.content, key);
        if (home == nullptr || *home != once.own.self)
        {
            break;
        }
        if (is_vouched(once, known, now))
        {
            return find_history_start(once, cell, key, known.content.number);
        }
    }
    return {};
}

// The key is known never to have run, and may be accepted.
claim_decision accept_key(state& once,
                          cell_state const& cell,
                          claim_request const& request,
                          step& current)
{
    if (once.is_leaving)
    {
        return refuse_key{verdict::not_run, refusal::draining, {}};
    }
    if (once.keys.size() >= once.own.key_limit)
    {
        return refuse_key{verdict::not_run, refusal::key_table_full, {}};
    }
    record_key(once, cell.name, request, current);
    return run_now{};
}

cell_state*
find_cell(state& once, std::string_view service, std::string_view key)
{
    auto const found =
        once.cells.find(cell_of(service, key, once.own.cell_count));
    return found == once.cells.end() ? nullptr : &found->second;
}

// A decision if this node is not the key's home in the newest epoch.
std::optional<claim_decision>
check_home(state const& once, cell_state const& cell, std::string_view key)
{
    epoch_progress const* newest = newest_epoch(cell);
    if (newest == nullptr)
    {
        return refuse_unknown(refusal::key_home_fenced);
    }
    node_id const* home = home_of(newest->content, key);
    if (home == nullptr ||
        (home->address == once.own.self.address && *home != once.own.self))
    {
        return refuse_unknown(refusal::key_home_fenced);
    }
    if (*home != once.own.self)
    {
        return redirect_claim{home->address};
    }
    return std::nullopt;
}

// Decides a key without a record here. `known_since` is the epoch from which
// on this node is the key's home, if the homes before it have answered that
// they have never seen the key; zero otherwise.
claim_decision decide_new_key(state& once,
                              claim_request const& request,
                              std::uint64_t known_since,
                              step& current)
{
    cell_state* cell = find_cell(once, request.service, request.key);
    if (cell == nullptr)
    {
        return refuse_unknown(refusal::key_home_fenced);
    }
    if (auto const elsewhere = check_home(once, *cell, request.key))
    {
        return *elsewhere;
    }
    settle_epochs(once, *cell, current);
    history_start const start =
        find_accepting_epoch(once, *cell, request.key, current.now);
    if (start.epoch == 0)
    {
        return refuse_unknown(refusal::key_home_fenced);
    }
    bool const is_young =
        start.opened_at &&
        is_minted_after(once, request.key, *start.opened_at, current.now);
    bool const is_new = is_young || start.epoch == known_since;
    if (!is_new)
    {
        claim_decision asked =
            ask_homes(once, *cell, request, start.epoch, current);
        if (!std::holds_alternative<run_now>(asked))
        {
            return asked;
        }
    }
    return accept_key(once, *cell, request, current);
}

claim_decision decide_pending(state& once,
                              pending_key const& settled,
                              claim_request const& request,
                              step& current)
{
    if (auto const recorded = claim_recorded(once, request.key))
    {
        return *recorded;
    }
    if (!settled.recorded_at.empty())
    {
        return redirect_claim{settled.recorded_at};
    }
    if (auto const refused = check_age(once, request.key, current.now))
    {
        return *refused;
    }
    if (!settled.is_history_known)
    {
        return refuse_unknown(refusal::key_history_unknown);
    }
    claim_decision decided =
        decide_new_key(once, request, settled.home_since, current);
    if (std::holds_alternative<decide_later>(decided))
    {
        once.pending.erase(request.key);
        return refuse_unknown(refusal::key_history_unknown);
    }
    return decided;
}

} // namespace

claim_decision
claim_key(state& once, claim_request const& request, step& current)
{
    expire_keys(once, current);
    if (auto const recorded = claim_recorded(once, request.key))
    {
        return *recorded;
    }
    if (auto const refused = check_age(once, request.key, current.now))
    {
        return *refused;
    }
    auto const waiting = once.pending.find(request.key);
    if (waiting != once.pending.end())
    {
        waiting->second.claims.push_back(request);
        return decide_later{};
    }
    return decide_new_key(once, request, 0, current);
}

std::vector<resolved_claim> take_resolved_claims(state& once, step& current)
{
    std::vector<pending_key> settled;
    for (auto waiting = once.pending.begin(); waiting != once.pending.end();)
    {
        if (waiting->second.deadline > current.now.monotonic)
        {
            ++waiting;
            continue;
        }
        settled.push_back(std::move(waiting->second));
        waiting = once.pending.erase(waiting);
    }
    std::vector<resolved_claim> resolved;
    for (pending_key const& decided : settled)
    {
        for (claim_request const& request : decided.claims)
        {
            resolved.push_back(
                {request.exchange,
                 decide_pending(once, decided, request, current)});
        }
    }
    return resolved;
}

} // namespace plantaintally::once
