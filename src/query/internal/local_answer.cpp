#include "query/local_answer.hpp"

#include "query/internal/work_answer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <variant>

namespace plantaintally::query
{

namespace
{

constexpr std::size_t max_timeline_rows_per_node = 1000;

std::string milliseconds_text(duration span)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

// Fixed width, so that the order of the text is the order of time.
std::string hybrid_text(hybrid_time at)
{
    return fmt::format("{:016d}.{:06d}", at.wall_us, at.counter);
}

answer_table timeline_table()
{
    return {{"time", "node", "request", "subject", "kind", "detail"}, {}};
}

void add_entries(answer_table& table,
                 local_view const& view,
                 std::span<timeline_entry const> entries)
{
    for (timeline_entry const& entry : entries)
    {
        table.rows.push_back({hybrid_text(entry.at),
                              view.self.address,
                              entry.trace_id,
                              entry.subject,
                              entry.kind,
                              entry.detail});
    }
}

struct local_answer
{
    local_view const& view;
    moment const& now;

    answer_table operator()(show_work const& asked) const
    {
        return work_answer(asked, this->view, this->now);
    }

    answer_table operator()(show_ranks const&) const
    {
        answer_table table{{"rank",
                            "urgency",
                            "worth",
                            "attempts",
                            "deadline_ms",
                            "protected"},
                           {}};
        for (auto const& rank : this->view.configuration.ranks)
        {
            table.rows.push_back({rank.name,
                                  std::to_string(rank.urgency),
                                  std::to_string(rank.worth),
                                  std::to_string(rank.attempt_budget),
                                  milliseconds_text(rank.deadline),
                                  rank.is_protected ? "yes" : "no"});
        }
        return table;
    }

    answer_table operator()(show_rules const&) const
    {
        answer_table table{{"rule", "service", "method", "path", "rank"}, {}};
        for (auto const& rule : this->view.configuration.rules)
        {
            table.rows.push_back({rule.name,
                                  rule.service,
                                  rule.method,
                                  rule.path_prefix,
                                  rule.rank});
        }
        return table;
    }

    answer_table operator()(show_changes const&) const
    {
        answer_table table{{"revision", "id", "change"}, {}};
        auto const& changes = this->view.configuration.changes;
        for (auto change = changes.rbegin(); change != changes.rend(); ++change)
        {
            table.rows.push_back({std::to_string(change->revision),
                                  change->change_id,
                                  change->text});
        }
        return table;
    }

    answer_table operator()(show_configuration const&) const
    {
        answer_table table{{"revision", "nodes", "oldest_age_ms"}, {}};
        table.rows.push_back({std::to_string(this->view.configuration.revision),
                              "1",
                              milliseconds_text(this->view.configuration_age)});
        return table;
    }

    answer_table operator()(show_members const& asked) const
    {
        answer_table table{{"node", "service", "zone", "status", "revision"},
                           {}};
        if (is_member_selected(asked.filters, this->view))
        {
            table.rows.push_back(
                {this->view.self.address,
                 std::string(this->view.service),
                 std::string(this->view.availability_zone),
                 std::string(this->view.node_status),
                 std::to_string(this->view.configuration.revision)});
        }
        return table;
    }

    answer_table operator()(show_timeline const& asked) const
    {
        answer_table table = timeline_table();
        std::int64_t const since =
            (this->now.wall - asked.last).time_since_epoch().count();
        auto const entries = timeline::entries_since(
            this->view.journal, since, max_timeline_rows_per_node);
        add_entries(table, this->view, entries);
        return table;
    }

    answer_table operator()(why_request const& asked) const
    {
        answer_table table = timeline_table();
        auto const entries =
            timeline::entries_of(this->view.journal, asked.trace_id);
        add_entries(table, this->view, entries);
        return table;
    }

    answer_table operator()(show_help const&) const
    {
        return {};
    }

    answer_table operator()(configuration::change const&) const
    {
        return {};
    }
};

// Sums the node counts of equal revisions and keeps the highest age.
void merge_revisions(answer_table& into, answer_table const& part)
{
    for (table_row const& row : part.rows)
    {
        auto const same =
            std::find_if(into.rows.begin(),
                         into.rows.end(),
                         [&row](table_row const& other)
                         { return !other.empty() && other[0] == row[0]; });
        if (same == into.rows.end())
        {
            into.rows.push_back(row);
            continue;
        }
        (*same)[1] = std::to_string(count_of((*same)[1]) + count_of(row[1]));
        (*same)[2] =
            std::to_string(std::max(count_of((*same)[2]), count_of(row[2])));
    }
}

void merge_rows(answer_table& into, answer_table const& part)
{
    into.rows.insert(into.rows.end(), part.rows.begin(), part.rows.end());
    std::sort(into.rows.begin(), into.rows.end());
    auto const last = std::unique(into.rows.begin(), into.rows.end());
    into.rows.erase(last, into.rows.end());
    if (into.rows.size() > max_timeline_rows)
    {
        auto const surplus =
            static_cast<std::ptrdiff_t>(into.rows.size() - max_timeline_rows);
        into.rows.erase(into.rows.begin(), into.rows.begin() + surplus);
    }
}

bool has_width(table_row const& row, std::size_t width)
{
    return row.size() == width;
}

} // namespace

bool is_fleet_wide(statement const& asked)
{
    return std::holds_alternative<show_work>(asked) ||
           std::holds_alternative<show_configuration>(asked) ||
           std::holds_alternative<show_members>(asked) ||
           std::holds_alternative<show_timeline>(asked) ||
           std::holds_alternative<why_request>(asked);
}

answer_table answer_locally(statement const& asked,
                            local_view const& view,
                            moment const& now)
{
    return std::visit(local_answer{view, now}, asked);
}

void merge_answer(statement const& asked,
                  answer_table& into,
                  answer_table const& part)
{
    answer_table usable = part;
    std::size_t const width = into.columns.size();
    std::erase_if(usable.rows,
                  [width](table_row const& row)
                  { return !has_width(row, width); });
    if (auto const* work = std::get_if<show_work>(&asked))
    {
        merge_work(*work, into, usable);
        return;
    }
    if (std::holds_alternative<show_configuration>(asked))
    {
        merge_revisions(into, usable);
        return;
    }
    merge_rows(into, usable);
}

} // namespace plantaintally::query
