#include "once/internal/key_questions.hpp"

#include "once/internal/epoch_book.hpp"
#include "once/internal/hand_over.hpp"
#include "once/internal/key_table.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

// Time after which a caller may repeat a key whose home can't accept it now.
constexpr duration fenced_retry_after = std::chrono::seconds(1);

// What the home of one earlier epoch knows, as far as it is known here.
enum class local_answer
{
    unknown_here,
    never_seen,
    incomplete
};

local_answer answer_here(state const& once,
                         cell_state const& cell,
                         epoch_progress const& earlier,
                         std::string_view key,
                         moment const& now)
{
    bool const is_lowest = &earlier == &cell.epochs.front();
    node_id const* home = home_of(earlier.content, key);
    if (home == nullptr)
    {
        return is_lowest ? local_answer::incomplete : local_answer::never_seen;
    }
    if (*home == once.own.self)
    {
        history_start const start =
            find_history_start(once, cell, key, earlier.content.number);
        bool const is_complete =
            start.opened_at &&
            is_minted_after(once, key, *start.opened_at, now);
        return is_lowest && !is_complete ? local_answer::incomplete
                                         : local_answer::never_seen;
    }
    if (home->address == once.own.self.address)
    {
        return local_answer::incomplete;
    }
    transfer_knowledge const handed =
        find_transfer(once, {cell.name, earlier.content.number, *home}, key);
    if (!handed.is_received)
    {
        return local_answer::unknown_here;
    }
    return is_lowest && !handed.is_complete ? local_answer::incomplete
                                            : local_answer::never_seen;
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

claim_decision refuse_unknown(refusal reason)
{
    return refuse_key{verdict::may_have_run, reason, fenced_retry_after};
}

claim_decision ask_homes(state& once,
                         cell_state const& cell,
                         claim_request const& request,
                         std::uint64_t home_since,
                         step& current)
{
    pending_key asked;
    asked.cell = cell.name;
    asked.claims.push_back(request);
    asked.lowest_epoch = cell.epochs.front().content.number;
    asked.home_since = home_since;
    asked.deadline = current.now.monotonic + once.own.question_timeout;
    if (once.pending.size() >= once.own.key_limit)
    {
        return refuse_unknown(refusal::key_table_full);
    }
    bool is_any_asked = false;
    for (epoch_progress const& earlier : cell.epochs)
    {
        if (earlier.content.number >= home_since)
        {
            break;
        }
        is_any_asked = true;
        local_answer const here =
            answer_here(once, cell, earlier, request.key, current.now);
        if (here == local_answer::incomplete)
        {
            return refuse_unknown(refusal::key_history_unknown);
        }
        if (here == local_answer::unknown_here)
        {
            asked.unanswered.insert(earlier.content.number);
        }
    }
    if (!is_any_asked)
    {
        return refuse_unknown(refusal::key_history_unknown);
    }
    if (asked.unanswered.empty())
    {
        return run_now{};
    }
    for (std::uint64_t const number : asked.unanswered)
    {
        auto const offset = number - asked.lowest_epoch;
        send_question(cell, cell.epochs[offset], request.key, current);
    }
    once.pending.emplace(request.key, std::move(asked));
    return decide_later{};
}

key_answer
answer_question(state& once, key_question const& asked, step& current)
{
    key_answer answer;
    answer.cell = asked.cell;
    answer.key = asked.key;
    answer.epoch = asked.epoch;
    key_history const recorded = recorded_history(once, asked.key);
    if (recorded != key_history::never_seen)
    {
        answer.history = recorded;
        return answer;
    }
    auto const cell = once.cells.find(asked.cell);
    if (cell == once.cells.end() || once.pending.contains(asked.key))
    {
        return answer;
    }
    settle_epochs(once, cell->second, current);
    history_start const start =
        find_history_start(once, cell->second, asked.key, asked.epoch);
    if (start.epoch == 0)
    {
        return answer;
    }
    answer.history = key_history::never_seen;
    answer.newest_epoch = newest_epoch(cell->second)->content.number;
    answer.is_complete =
        start.opened_at &&
        is_minted_after(once, asked.key, *start.opened_at, current.now);
    return answer;
}

void note_answer(state& once,
                 node_id const& sender,
                 key_answer const& answer,
                 step& current)
{
    auto const waiting = once.pending.find(answer.key);
    auto const cell = once.cells.find(answer.cell);
    if (waiting == once.pending.end() || cell == once.cells.end())
    {
        return;
    }
    pending_key& asked = waiting->second;
    epoch_progress const* about = find_epoch(cell->second, answer.epoch);
    node_id const* home =
        about == nullptr ? nullptr : home_of(about->content, answer.key);
    bool const is_expected = home != nullptr && *home == sender &&
                             asked.unanswered.contains(answer.epoch);
    if (!is_expected)
    {
        return;
    }
    bool const is_recorded = answer.history == key_history::ran ||
                             answer.history == key_history::running;
    epoch_progress const* since = find_epoch(cell->second, asked.home_since);
    bool const is_fenced = since != nullptr && since->opened_at.has_value();
    bool const has_stopped = answer.newest_epoch >= asked.home_since;
    bool const is_clear =
        answer.history == key_history::never_seen &&
        (is_fenced || has_stopped) &&
        (answer.is_complete || answer.epoch != asked.lowest_epoch);
    if (!is_clear)
    {
        asked.recorded_at = is_recorded ? sender.address : std::string();
        asked.deadline = current.now.monotonic;
        return;
    }
    asked.unanswered.erase(answer.epoch);
    if (asked.unanswered.empty())
    {
        asked.is_history_known = true;
        asked.deadline = current.now.monotonic;
    }
}

std::optional<instant> next_question_deadline(state const& once)
{
    std::optional<instant> earliest;
    for (auto const& [key, asked] : once.pending)
    {
        earliest =
            earliest ? std::min(*earliest, asked.deadline) : asked.deadline;
    }
    return earliest;
}

} // namespace plantaintally::once
