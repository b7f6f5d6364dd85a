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

// Zero-padded to a fixed width, so that sorting the text sorts by time.
std::string timestamp_text(hybrid_time at)
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
        table.rows.push_back({timestamp_text(entry.at),
                              view.self.address,
                              entry.trace_id,
                              entry.subject,
                              entry.kind,
                              entry.detail});
    }
}

struct answer_visitor
{
    local_view const& view;
    moment const& now;

    answer_table operator()(show_work const& query) const
    {
        return work_answer(query, this->view, this->now);
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

    answer_table operator()(show_members const& query) const
    {
        answer_table table{{"node", "service", "zone", "status", "revision"},
                           {}};
        if (is_member_selected(query.filters, this->view))
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

    answer_table operator()(show_timeline const& query) const
    {
        answer_table table = timeline_table();
        std::int64_t const since =
            (this->now.wall - query.last).time_since_epoch().count();
        auto const entries = timeline::entries_since(
            this->view.journal, since, max_timeline_rows_per_node);
        add_entries(table, this->view, entries);
        return table;
    }

    answer_table operator()(why_request const& query) const
    {
        answer_table table = timeline_table();
        auto const entries =
            timeline::entries_of(this->view.journal, query.trace_id);
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

// Sums the node counts of equal revisions and keeps their maximum age.
void merge_revisions(answer_table& merged, answer_table const& partial)
{
    for (table_row const& row : partial.rows)
    {
        auto const same =
            std::find_if(merged.rows.begin(),
                         merged.rows.end(),
                         [&row](table_row const& other)
                         { return !other.empty() && other[0] == row[0]; });
        if (same == merged.rows.end())
        {
            merged.rows.push_back(row);
            continue;
        }
        (*same)[1] = std::to_string(count_of((*same)[1]) + count_of(row[1]));
        (*same)[2] =
            std::to_string(std::max(count_of((*same)[2]), count_of(row[2])));
    }
}

void merge_rows(answer_table& merged, answer_table const& partial)
{
    merged.rows.insert(
        merged.rows.end(), partial.rows.begin(), partial.rows.end());
    std::sort(merged.rows.begin(), merged.rows.end());
    auto const last = std::unique(merged.rows.begin(), merged.rows.end());
    merged.rows.erase(last, merged.rows.end());
    if (merged.rows.size() > max_timeline_rows)
    {
        auto const surplus =
            static_cast<std::ptrdiff_t>(merged.rows.size() - max_timeline_rows);
        merged.rows.erase(merged.rows.begin(), merged.rows.begin() + surplus);
    }
}

bool has_width(table_row const& row, std::size_t width)
{
    return row.size() == width;
}

} // namespace

bool is_fleet_wide(statement const& query)
{
    return std::holds_alternative<show_work>(query) ||
           std::holds_alternative<show_configuration>(query) ||
           std::holds_alternative<show_members>(query) ||
           std::holds_alternative<show_timeline>(query) ||
           std::holds_alternative<why_request>(query);
}

answer_table answer_locally(statement const& query,
                            local_view const& view,
                            moment const& now)
{
    return std::visit(answer_visitor{view, now}, query);
}

void merge_answer(statement const& query,
                  answer_table& merged,
                  answer_table const& partial)
{
    answer_table well_formed = partial;
    std::size_t const width = merged.columns.size();
    std::erase_if(well_formed.rows,
                  [width](table_row const& row)
                  { return !has_width(row, width); });
    if (auto const* work = std::get_if<show_work>(&query))
    {
        merge_work(*work, merged, well_formed);
        return;
    }
    if (std::holds_alternative<show_configuration>(query))
    {
        merge_revisions(merged, well_formed);
        return;
    }
    merge_rows(merged, well_formed);
}

} // namespace plantaintally::query
