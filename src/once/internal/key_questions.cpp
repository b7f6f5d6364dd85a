#include "once/internal/key_questions.hpp"

#include "once/internal/epoch_book.hpp"
#include "once/internal/hand_over.hpp"
#include "once/internal/key_table.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

// Delay after which the caller may retry a request whose key can't be accepted
// now.
constexpr duration key_retry_after = std::chrono::seconds(1);

// What this node knows, without asking, of the answer of an earlier epoch's
// home. `incomplete` means that no answer can cover the history that is needed.
enum class local_history
{
    unknown,
    never_seen,
    incomplete
};

local_history find_local_history(state const& once,
                                 cell_state const& cell,
                                 epoch_progress const& earlier,
                                 std::string_view key,
                                 moment const& now)
{
    bool const is_lowest = &earlier == &cell.epochs.front();
    node_id const* home = home_of(earlier.content, key);
    if (home == nullptr)
    {
        return is_lowest ? local_history::incomplete
                         : local_history::never_seen;
    }
    if (*home == once.startup_options.self)
    {
        history_start const start =
            find_history_start(once, cell, key, earlier.content.number);
        bool const is_complete =
            start.opened_at &&
            is_created_after(once, key, *start.opened_at, now);
        return is_lowest && !is_complete ? local_history::incomplete
                                         : local_history::never_seen;
    }
    if (home->address == once.startup_options.self.address)
    {
        return local_history::incomplete;
    }
    transfer_coverage const handed_over =
        find_transfer(once, {cell.name, earlier.content.number, *home}, key);
    if (!handed_over.is_received)
    {
        return local_history::unknown;
    }
    return is_lowest && !handed_over.is_complete ? local_history::incomplete
                                                 : local_history::never_seen;
}

void send_question(cell_state const& cell,
                   epoch_progress const& earlier,
                   std::string const& key,
                   step& current)
{
    key_question const question{cell.name,
                                key,
                                earlier.content.number,
                                newest_epoch(cell)->content.number};
    node_id const* home = home_of(earlier.content, key);
    current.out.push_back(send_control{home->address, message(question)});
}

} // namespace

claim_decision refuse_may_have_run(refusal reason)
{
    return refuse_key{verdict::may_have_run, reason, key_retry_after};
}

claim_decision ask_earlier_homes(state& once,
                                 cell_state const& cell,
                                 claim_request const& request,
                                 std::uint64_t home_since_epoch,
                                 step& current)
{
    pending_key pending;
    pending.cell = cell.name;
    pending.claims.push_back(request);
    pending.lowest_epoch = cell.epochs.front().content.number;
    pending.home_since_epoch = home_since_epoch;
    pending.deadline =
        current.now.monotonic + once.startup_options.question_timeout;
    if (once.pending_keys.size() >= once.startup_options.key_limit)
    {
        return refuse_may_have_run(refusal::key_table_full);
    }
    bool has_earlier_epoch = false;
    for (epoch_progress const& earlier : cell.epochs)
    {
        if (earlier.content.number >= home_since_epoch)
        {
            break;
        }
        has_earlier_epoch = true;
        local_history const history =
            find_local_history(once, cell, earlier, request.key, current.now);
        if (history == local_history::incomplete)
        {
            return refuse_may_have_run(refusal::key_history_unknown);
        }
        if (history == local_history::unknown)
        {
            pending.unanswered_epochs.insert(earlier.content.number);
        }
    }
    if (!has_earlier_epoch)
    {
        return refuse_may_have_run(refusal::key_history_unknown);
    }
    if (pending.unanswered_epochs.empty())
    {
        return run_now{};
    }
    for (std::uint64_t const number : pending.unanswered_epochs)
    {
        auto const offset = number - pending.lowest_epoch;
        send_question(cell, cell.epochs[offset], request.key, current);
    }
    once.pending_keys.emplace(request.key, std::move(pending));
    return decide_later{};
}

key_answer
answer_question(state& once, key_question const& question, step& current)
{
    key_answer answer;
    answer.cell = question.cell;
    answer.key = question.key;
    answer.epoch = question.epoch;
    key_history const recorded = recorded_history(once, question.key);
    if (recorded != key_history::never_seen)
    {
        answer.history = recorded;
        return answer;
    }
    auto const cell = once.cells.find(question.cell);
    if (cell == once.cells.end() || once.pending_keys.contains(question.key))
    {
        return answer;
    }
    settle_epochs(once, cell->second, current);
    history_start const start =
        find_history_start(once, cell->second, question.key, question.epoch);
    if (start.epoch == 0)
    {
        return answer;
    }
    answer.history = key_history::never_seen;
    answer.newest_epoch = newest_epoch(cell->second)->content.number;
    answer.is_complete =
        start.opened_at &&
        is_created_after(once, question.key, *start.opened_at, current.now);
    return answer;
}

void note_answer(state& once,
                 node_id const& sender,
                 key_answer const& answer,
                 step& current)
{
    auto const found = once.pending_keys.find(answer.key);
    auto const cell = once.cells.find(answer.cell);
    if (found == once.pending_keys.end() || cell == once.cells.end())
    {
        return;
    }
    pending_key& pending = found->second;
    epoch_progress const* asked_epoch = find_epoch(cell->second, answer.epoch);
    node_id const* home = asked_epoch == nullptr
                              ? nullptr
                              : home_of(asked_epoch->content, answer.key);
    bool const is_expected = home != nullptr && *home == sender &&
                             pending.unanswered_epochs.contains(answer.epoch);
    if (!is_expected)
    {
        return;
    }
    bool const is_recorded = answer.history == key_history::ran ||
                             answer.history == key_history::running;
    epoch_progress const* since =
        find_epoch(cell->second, pending.home_since_epoch);
    bool const is_fenced = since != nullptr && since->opened_at.has_value();
    bool const has_stopped = answer.newest_epoch >= pending.home_since_epoch;
    bool const is_unseen =
        answer.history == key_history::never_seen &&
        (is_fenced || has_stopped) &&
        (answer.is_complete || answer.epoch != pending.lowest_epoch);
    if (!is_unseen)
    {
        pending.recording_home = is_recorded ? sender.address : std::string();
        pending.deadline = current.now.monotonic;
        return;
    }
    pending.unanswered_epochs.erase(answer.epoch);
    if (pending.unanswered_epochs.empty())
    {
        pending.is_confirmed_unseen = true;
        pending.deadline = current.now.monotonic;
    }
}

std::optional<instant> next_question_deadline(state const& once)
{
    std::optional<instant> earliest;
    for (auto const& [key, pending] : once.pending_keys)
    {
        earliest =
            earliest ? std::min(*earliest, pending.deadline) : pending.deadline;
    }
    return earliest;
}

} // namespace plantaintally::once
