// Decides whether a request with an idempotency key is executed.
#include "once/internal/epoch_book.hpp"
#include "once/internal/key_questions.hpp"
#include "once/internal/key_table.hpp"
#include "once/internal/vouch_book.hpp"

namespace plantaintally::once
{

namespace
{

// Refuses a time-ordered key that is too old or was created in the future. A
// key of the future is refused because another home that takes over later could
// mistake it for one created after its own epoch opened.
std::optional<claim_decision>
check_age(state const& once, std::string_view key, moment const& now)
{
    std::optional<wall_time> const created_at = creation_time(key);
    if (!created_at)
    {
        return std::nullopt;
    }
    if (*created_at < now.wall - once.startup_options.retry_horizon)
    {
        return refuse_key{verdict::may_have_run, refusal::key_too_old, {}};
    }
    if (*created_at > now.wall + once.startup_options.wall_clock_skew)
    {
        return refuse_may_have_run(refusal::key_history_unknown);
    }
    return std::nullopt;
}

// Searches the unbroken series of epochs, back from the newest one, in which
// this node is the key's home, for one that a majority vouches for. Returns
// where the series begins. If none is vouched for, the returned epoch is zero
// and this node must not accept the key.
history_start find_accepting_epoch(state const& once,
                                   cell_state const& cell,
                                   std::string_view key,
                                   moment const& now)
{
    for (std::size_t i = cell.epochs.size(); i-- > 0;)
    {
        epoch_progress const& known = cell.epochs[i];
        node_id const* home = home_of(known.content, key);
        if (home == nullptr || *home != once.startup_options.self)
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

// Accepts a key that is known never to have been executed, unless this node is
// leaving or its key table is full.
claim_decision accept_key(state& once,
                          cell_state const& cell,
                          claim_request const& request,
                          step& current)
{
    if (once.is_leaving)
    {
        return refuse_key{verdict::not_run, refusal::draining, {}};
    }
    if (once.keys.size() >= once.startup_options.key_limit)
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
        once.cells.find(cell_of(service, key, once.startup_options.cell_count));
    return found == once.cells.end() ? nullptr : &found->second;
}

// The decision if this node is not the key's home in the newest epoch; none if
// it is.
std::optional<claim_decision>
check_home(state const& once, cell_state const& cell, std::string_view key)
{
    epoch_progress const* newest = newest_epoch(cell);
    if (newest == nullptr)
    {
        return refuse_may_have_run(refusal::key_home_fenced);
    }
    node_id const* home = home_of(newest->content, key);
    if (home == nullptr ||
        (home->address == once.startup_options.self.address &&
         *home != once.startup_options.self))
    {
        return refuse_may_have_run(refusal::key_home_fenced);
    }
    if (*home != once.startup_options.self)
    {
        return redirect_claim{home->address};
    }
    return std::nullopt;
}

// Decides on a key without a record here. `unseen_since_epoch` is the epoch
// since which this node has been the key's home, if the homes before it have
// answered that they have never seen the key; zero otherwise.
claim_decision decide_new_key(state& once,
                              claim_request const& request,
                              std::uint64_t unseen_since_epoch,
                              step& current)
{
    cell_state* cell = find_cell(once, request.service, request.key);
    if (cell == nullptr)
    {
        return refuse_may_have_run(refusal::key_home_fenced);
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
        return refuse_may_have_run(refusal::key_home_fenced);
    }
    bool const is_created_after_opening =
        start.opened_at &&
        is_created_after(once, request.key, *start.opened_at, current.now);
    bool const is_new =
        is_created_after_opening || start.epoch == unseen_since_epoch;
    if (!is_new)
    {
        claim_decision decision =
            ask_earlier_homes(once, *cell, request, start.epoch, current);
        if (!std::holds_alternative<run_now>(decision))
        {
            return decision;
        }
    }
    return accept_key(once, *cell, request, current);
}

claim_decision decide_pending(state& once,
                              pending_key const& pending,
                              claim_request const& request,
                              step& current)
{
    if (auto const recorded = claim_recorded_key(once, request.key))
    {
        return *recorded;
    }
    if (!pending.recording_home.empty())
    {
        return redirect_claim{pending.recording_home};
    }
    if (auto const refused = check_age(once, request.key, current.now))
    {
        return *refused;
    }
    if (!pending.is_confirmed_unseen)
    {
        return refuse_may_have_run(refusal::key_history_unknown);
    }
    claim_decision decision =
        decide_new_key(once, request, pending.home_since_epoch, current);
    if (std::holds_alternative<decide_later>(decision))
    {
        once.pending_keys.erase(request.key);
        return refuse_may_have_run(refusal::key_history_unknown);
    }
    return decision;
}

} // namespace

claim_decision
claim_key(state& once, claim_request const& request, step& current)
{
    expire_keys(once, current);
    if (auto const recorded = claim_recorded_key(once, request.key))
    {
        return *recorded;
    }
    if (auto const refused = check_age(once, request.key, current.now))
    {
        return *refused;
    }
    auto const found = once.pending_keys.find(request.key);
    if (found != once.pending_keys.end())
    {
        found->second.claims.push_back(request);
        return decide_later{};
    }
    return decide_new_key(once, request, 0, current);
}

std::vector<resolved_claim> take_resolved_claims(state& once, step& current)
{
    std::vector<pending_key> due_keys;
    for (auto pending = once.pending_keys.begin();
         pending != once.pending_keys.end();)
    {
        if (pending->second.deadline > current.now.monotonic)
        {
            ++pending;
            continue;
        }
        due_keys.push_back(std::move(pending->second));
        pending = once.pending_keys.erase(pending);
    }
    std::vector<resolved_claim> resolved;
    for (pending_key const& due : due_keys)
    {
        for (claim_request const& request : due.claims)
        {
            resolved.push_back({request.exchange,
                                decide_pending(once, due, request, current)});
        }
    }
    return resolved;
}

} // namespace plantaintally::once
