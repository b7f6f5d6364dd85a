#include "once/once.hpp"

#include "once/internal/epoch_book.hpp"
#include "once/internal/hand_over.hpp"
#include "once/internal/key_questions.hpp"
#include "once/internal/key_table.hpp"
#include "once/internal/proposal.hpp"
#include "once/internal/vouch_book.hpp"

#include <algorithm>

namespace plantaintally::once
{

namespace
{

cell_state* find_cell(state& once, std::string_view name)
{
    auto const found = once.cells.find(name);
    return found == once.cells.end() ? nullptr : &found->second;
}

void note_newer_epoch(cell_state& cell, std::uint64_t number, step& current)
{
    if (number > cell.highest_seen_epoch)
    {
        cell.highest_seen_epoch = number;
        cell.fetch_at = current.now.monotonic;
    }
}

struct message_visitor
{
    state& once;
    node_id const& sender;
    step& current;

    void reply(message const& content) const
    {
        this->current.out.push_back(
            send_control{this->sender.address, content});
    }

    void operator()(vouch_request const& request) const
    {
        this->reply(give_vouch(this->once, request, this->current.now));
        if (cell_state* cell = find_cell(this->once, request.cell))
        {
            note_newer_epoch(*cell, request.epoch, this->current);
        }
    }

    void operator()(vouch_reply const& reply) const
    {
        if (cell_state* cell = find_cell(this->once, reply.cell))
        {
            note_vouch(this->once, *cell, this->sender, reply, this->current);
        }
    }

    void operator()(epoch_question const& question) const
    {
        cell_state const* cell = find_cell(this->once, question.cell);
        if (cell != nullptr && cell->revision > question.known_revision)
        {
            this->reply(epoch_news{cell->name, cell->revision, cell->document});
        }
    }

    void operator()(epoch_news const& news) const
    {
        cell_state* cell = find_cell(this->once, news.cell);
        if (cell == nullptr)
        {
            return;
        }
        learn_epoch(
            this->once, *cell, news.revision, news.document, this->current);
        plan_proposal(this->once, *cell, this->current);
    }

    void operator()(key_question const& question) const
    {
        if (cell_state* cell = find_cell(this->once, question.cell))
        {
            note_newer_epoch(*cell, question.newest_epoch, this->current);
        }
        this->reply(answer_question(this->once, question, this->current));
    }

    void operator()(key_answer const& answer) const
    {
        note_answer(this->once, this->sender, answer, this->current);
    }

    void operator()(key_transfer const& part) const
    {
        receive_transfer(this->once, this->sender, part, this->current);
    }

    void operator()(key_transfer_received const& acknowledgement) const
    {
        handle_acknowledgement(this->once, this->sender, acknowledgement);
    }
};

void note_incarnations(cell_state& cell,
                       std::span<membership::member_record const> nodes,
                       step& current)
{
    for (membership::member_record const& member : nodes)
    {
        note_advanced(cell, member.node, 0, current.now);
    }
}

void take_earlier(std::optional<instant>& earliest,
                  std::optional<instant> const& candidate)
{
    if (candidate)
    {
        earliest = earliest ? std::min(*earliest, *candidate) : *candidate;
    }
}

std::optional<instant> next_cell_deadline(state const& once,
                                          cell_state const& cell)
{
    std::optional<instant> earliest = cell.vouch_round_at;
    take_earlier(earliest, next_fence_time(once, cell));
    if (cell.store_call.value == 0)
    {
        take_earlier(earliest, cell.fetch_at);
        take_earlier(earliest, cell.propose_at);
    }
    return earliest;
}

} // namespace

void start(state& once, step& current)
{
    once.started_at = current.now.monotonic;
}

void handle_members(state& once,
                    std::string_view service,
                    std::span<membership::member_record const> members,
                    std::span<membership::member_record const> fleet,
                    step& current)
{
    once.service = service;
    once.members.assign(members.begin(), members.end());
    for (std::uint32_t index = 0; index < once.startup_options.cell_count;
         ++index)
    {
        std::string const name =
            std::string(service) + "/" + std::to_string(index);
        std::vector<node_id> desired = choose_members(members, name);
        bool const is_desired_member =
            std::ranges::find(desired, once.startup_options.self) !=
            desired.end();
        if (!is_desired_member && !once.cells.contains(name))
        {
            continue;
        }
        cell_state& cell = once.cells[name];
        cell.name = name;
        note_incarnations(cell, members, current);
        note_incarnations(cell, fleet, current);
        std::vector<node_id> vouchers = choose_vouchers(members, fleet, cell);
        set_desired_nodes(
            once, cell, std::move(desired), std::move(vouchers), current);
    }
}

void handle_message(state& once,
                    node_id const& sender,
                    message const& received,
                    step& current)
{
    std::visit(message_visitor{once, sender, current}, received);
}

void handle_store(state& once,
                  store_call_id call,
                  store_result const& result,
                  step& current)
{
    for (auto& [name, cell] : once.cells)
    {
        if (cell.store_call == call)
        {
            handle_store_result(once, cell, result, current);
            return;
        }
    }
}

void handle_time(state& once, step& current)
{
    instant const now = current.now.monotonic;
    expire_keys(once, current);
    for (auto& [name, cell] : once.cells)
    {
        settle_epochs(once, cell, current);
        if (cell.vouch_round_at && *cell.vouch_round_at <= now)
        {
            request_vouches(once, cell, current);
        }
        continue_proposal(once, cell, current);
    }
    if (once.next_transfer_at && *once.next_transfer_at <= now)
    {
        continue_transfer(once, current);
    }
}

std::optional<instant> next_wakeup(state const& once)
{
    std::optional<instant> earliest = next_question_deadline(once);
    for (auto const& [name, cell] : once.cells)
    {
        take_earlier(earliest, next_cell_deadline(once, cell));
    }
    take_earlier(earliest, once.next_transfer_at);
    if (!once.expiries.empty())
    {
        take_earlier(earliest, once.expiries.front().at);
    }
    return earliest;
}

} // namespace plantaintally::once
