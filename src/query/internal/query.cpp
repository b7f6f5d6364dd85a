#include "query/query.hpp"

#include "query/language.hpp"
#include "query/local_answer.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace plantaintally::query
{

namespace
{

// Maximum number of silent nodes that an answer names.
constexpr std::size_t max_named_nodes = 10;

// Percentage of a node's remaining time that its children get to answer; the
// rest is left for their answers to arrive and be merged.
constexpr int child_time_percent = 80;

// Divides the targets into at most `count` groups of nearly equal size.
std::vector<query_group> make_groups(std::span<std::string const> targets,
                                     std::size_t count)
{
    std::vector<query_group> groups(std::min(count, targets.size()));
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        groups[i % groups.size()].targets.push_back(targets[i]);
    }
    return groups;
}

void ask_group(state& queries,
               pending_query& pending,
               query_group group,
               duration time_left,
               step& current)
{
    std::uint64_t const number = ++queries.last_query;
    partial_query subquery;
    subquery.query = number;
    subquery.text = pending.text;
    subquery.targets.assign(std::next(group.targets.begin()),
                            group.targets.end());
    subquery.time_left = time_left * child_time_percent / 100;
    current.out.push_back(send_control{group.targets.front(), subquery});
    pending.groups.emplace(number, std::move(group));
}

void ask_targets(state& queries,
                 pending_query& pending,
                 std::span<std::string const> targets,
                 step& current)
{
    duration const time_left = pending.deadline - current.now.monotonic;
    for (query_group& group :
         make_groups(targets, queries.startup_options.fan_out))
    {
        ask_group(queries, pending, std::move(group), time_left, current);
    }
}

std::uint64_t parse_revision(std::string const& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// "revision 7 in force on 12 of 13 nodes", for the highest revision in the
// table.
std::string in_force_message(answer_table const& table, std::size_t total)
{
    std::uint64_t highest = 0;
    std::string nodes = "0";
    for (table_row const& row : table.rows)
    {
        std::uint64_t const revision = parse_revision(row[0]);
        if (revision >= highest)
        {
            highest = revision;
            nodes = row[1];
        }
    }
    return "revision " + std::to_string(highest) + " in force on " + nodes +
           " of " + std::to_string(total) + " nodes";
}

std::string silent_nodes_text(std::span<std::string const> silent)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(silent.size(), max_named_nodes); ++i)
    {
        text += (i == 0 ? "; silent: " : ", ") + silent[i];
    }
    if (silent.size() > max_named_nodes)
    {
        text += ", ...";
    }
    return text;
}

void answer_command(pending_query const& pending, step& current)
{
    std::size_t const total =
        pending.answered_nodes + pending.silent_nodes.size();
    answer_operator answer;
    answer.command = *pending.command;
    answer.status = pending.silent_nodes.empty() ? "ok" : "partial";
    answer.message = std::to_string(pending.answered_nodes) + " of " +
                     std::to_string(total) + " nodes answered" +
                     silent_nodes_text(pending.silent_nodes);
    if (std::holds_alternative<show_configuration>(pending.parsed))
    {
        answer.message =
            in_force_message(pending.table, total) + "; " + answer.message;
    }
    answer.table = pending.table;
    current.out.push_back(std::move(answer));
}

void answer_parent(pending_query const& pending, step& current)
{
    partial_answer answer;
    answer.query = pending.parent_query;
    answer.table = pending.table;
    answer.answered_nodes = pending.answered_nodes;
    answer.silent_nodes = pending.silent_nodes;
    current.out.push_back(send_control{pending.parent_address, answer});
}

void finish(pending_query const& pending, step& current)
{
    if (pending.command)
    {
        answer_command(pending, current);
        return;
    }
    answer_parent(pending, current);
}

// Forwards the query to the targets and adds it to the pending ones. Without
// targets, the query is answered at once.
void start(state& queries,
           pending_query pending,
           std::span<std::string const> targets,
           step& current)
{
    ask_targets(queries, pending, targets, current);
    if (pending.groups.empty())
    {
        finish(pending, current);
        return;
    }
    std::uint64_t const number = ++queries.last_query;
    queries.pending.emplace(number, std::move(pending));
}

pending_query make_pending(statement const& parsed,
                           std::string const& text,
                           duration time_left,
                           local_view const& view,
                           step const& current)
{
    pending_query pending;
    pending.parsed = parsed;
    pending.text = text;
    pending.table = answer_locally(parsed, view, current.now);
    pending.answered_nodes = 1;
    pending.retry_at = current.now.monotonic + time_left / 2;
    pending.deadline = current.now.monotonic + time_left;
    return pending;
}

void handle_partial_query(state& queries,
                          node_id const& sender,
                          partial_query const& subquery,
                          local_view const& view,
                          step& current)
{
    result<statement> const parsed = parse_statement(subquery.text);
    bool const is_full =
        queries.pending.size() >= queries.startup_options.pending_limit;
    if (is_full || parsed.has_error() || !is_fleet_wide(parsed.value()))
    {
        return;
    }
    pending_query pending = make_pending(
        parsed.value(), subquery.text, subquery.time_left, view, current);
    pending.parent_address = sender.address;
    pending.parent_query = subquery.query;
    start(queries, std::move(pending), subquery.targets, current);
}

void handle_partial_answer(state& queries,
                           partial_answer const& answer,
                           step& current)
{
    for (auto entry = queries.pending.begin(); entry != queries.pending.end();
         ++entry)
    {
        pending_query& pending = entry->second;
        if (pending.groups.erase(answer.query) == 0)
        {
            continue;
        }
        merge_answer(pending.parsed, pending.table, answer.table);
        pending.answered_nodes += answer.answered_nodes;
        pending.silent_nodes.insert(pending.silent_nodes.end(),
                                    answer.silent_nodes.begin(),
                                    answer.silent_nodes.end());
        if (pending.groups.empty())
        {
            finish(pending, current);
            queries.pending.erase(entry);
        }
        return;
    }
}

// Gives up the children that have not answered, and queries the rest of their
// groups through other nodes.
void retry_groups(state& queries, pending_query& pending, step& current)
{
    pending.is_retried = true;
    std::vector<std::string> targets;
    for (auto const& [number, group] : pending.groups)
    {
        pending.silent_nodes.push_back(group.targets.front());
        targets.insert(targets.end(),
                       std::next(group.targets.begin()),
                       group.targets.end());
    }
    pending.groups.clear();
    ask_targets(queries, pending, targets, current);
}

void mark_groups_silent(pending_query& pending)
{
    for (auto const& [number, group] : pending.groups)
    {
        pending.silent_nodes.insert(pending.silent_nodes.end(),
                                    group.targets.begin(),
                                    group.targets.end());
    }
    pending.groups.clear();
}

} // namespace

void start_query(state& queries,
                 command_id command,
                 statement const& parsed,
                 std::string const& text,
                 local_view const& view,
                 step& current)
{
    if (std::holds_alternative<show_help>(parsed))
    {
        current.out.push_back(answer_operator{
            command, "ok", std::string(language_summary()), {}});
        return;
    }
    if (std::holds_alternative<configuration::change>(parsed))
    {
        current.out.push_back(answer_operator{
            command, "invalid", "the statement is a change, not a query", {}});
        return;
    }
    if (!is_fleet_wide(parsed))
    {
        std::string revision_text =
            "revision " + std::to_string(view.configuration.revision);
        current.out.push_back(
            answer_operator{command,
                            "ok",
                            std::move(revision_text),
                            answer_locally(parsed, view, current.now)});
        return;
    }
    if (queries.pending.size() >= queries.startup_options.pending_limit)
    {
        current.out.push_back(answer_operator{
            command, "refused", "too many pending queries at this node", {}});
        return;
    }
    pending_query pending = make_pending(
        parsed, text, queries.startup_options.time_limit, view, current);
    pending.command = command;
    std::vector<std::string> targets;
    for (membership::member_record const& member : view.fleet)
    {
        if (member.node.address != view.self.address)
        {
            targets.push_back(member.node.address);
        }
    }
    start(queries, std::move(pending), targets, current);
}

void handle_message(state& queries,
                    node_id const& sender,
                    message const& received,
                    local_view const& view,
                    step& current)
{
    if (auto const* subquery = std::get_if<partial_query>(&received))
    {
        handle_partial_query(queries, sender, *subquery, view, current);
        return;
    }
    handle_partial_answer(queries, std::get<partial_answer>(received), current);
}

void handle_time(state& queries, step& current)
{
    instant const now = current.now.monotonic;
    for (auto entry = queries.pending.begin(); entry != queries.pending.end();)
    {
        pending_query& pending = entry->second;
        if (!pending.is_retried && pending.retry_at <= now)
        {
            retry_groups(queries, pending, current);
        }
        if (pending.deadline <= now)
        {
            mark_groups_silent(pending);
        }
        if (!pending.groups.empty())
        {
            ++entry;
            continue;
        }
        finish(pending, current);
        entry = queries.pending.erase(entry);
    }
}

std::optional<instant> next_wakeup(state const& queries)
{
    std::optional<instant> earliest;
    for (auto const& [number, pending] : queries.pending)
    {
        instant const due =
            pending.is_retried ? pending.deadline : pending.retry_at;
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

} // namespace plantaintally::query
