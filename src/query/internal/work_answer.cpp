#include "query/internal/work_answer.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <vector>

namespace plantaintally::query
{

namespace
{

constexpr std::array<work_counter, 5> all_counters = {work_counter::admitted,
                                                      work_counter::shed,
                                                      work_counter::queued,
                                                      work_counter::retried,
                                                      work_counter::refused};

std::vector<work_counter> counters_of(show_work const& query)
{
    if (!query.counters.empty())
    {
        return query.counters;
    }
    return {all_counters.begin(), all_counters.end()};
}

std::vector<dimension> grouping_of(show_work const& query)
{
    if (!query.grouping.empty())
    {
        return query.grouping;
    }
    return {dimension::rank};
}

std::string column_name(dimension column)
{
    switch (column)
    {
    case dimension::rank:
        return "rank";
    case dimension::service:
        return "service";
    case dimension::upstream:
        return "upstream";
    case dimension::availability_zone:
        return "zone";
    case dimension::caller:
        return "caller";
    }
    return {};
}

std::string column_name(work_counter counter)
{
    switch (counter)
    {
    case work_counter::admitted:
        return "admitted";
    case work_counter::shed:
        return "shed";
    case work_counter::queued:
        return "queued";
    case work_counter::retried:
        return "retried";
    case work_counter::refused:
        return "refused";
    }
    return {};
}

std::uint64_t counter_value(work_sample const& sample, work_counter counter)
{
    switch (counter)
    {
    case work_counter::admitted:
        return sample.admitted;
    case work_counter::shed:
        return sample.shed;
    case work_counter::queued:
        return sample.queued;
    case work_counter::retried:
        return sample.retried;
    case work_counter::refused:
        return sample.refused;
    }
    return 0;
}

std::string
value_of(work_sample const& sample, local_view const& view, dimension column)
{
    switch (column)
    {
    case dimension::rank:
        return sample.rank;
    case dimension::service:
        return sample.service;
    case dimension::upstream:
        return view.self.address;
    case dimension::availability_zone:
        return std::string(view.availability_zone);
    case dimension::caller:
        return sample.caller;
    }
    return {};
}

bool is_selected(work_sample const& sample,
                 local_view const& view,
                 std::span<filter const> filters)
{
    return std::all_of(
        filters.begin(),
        filters.end(),
        [&](filter const& wanted)
        { return value_of(sample, view, wanted.column) == wanted.value; });
}

// Groups the rows by their first `group_width` cells and sums the counts in the
// other cells.
answer_table sum_groups(answer_table const& table, std::size_t group_width)
{
    std::map<table_row, std::vector<std::uint64_t>> groups;
    for (table_row const& row : table.rows)
    {
        auto const split =
            row.begin() + static_cast<std::ptrdiff_t>(group_width);
        auto& sums = groups[table_row(row.begin(), split)];
        sums.resize(row.size() - group_width);
        for (std::size_t i = group_width; i < row.size(); ++i)
        {
            sums[i - group_width] += count_of(row[i]);
        }
    }
    answer_table sums_by_group{table.columns, {}};
    for (auto const& [group, sums] : groups)
    {
        table_row row = group;
        for (std::uint64_t const sum : sums)
        {
            row.push_back(std::to_string(sum));
        }
        sums_by_group.rows.push_back(std::move(row));
    }
    return sums_by_group;
}

} // namespace

std::uint64_t count_of(std::string_view cell)
{
    std::uint64_t value = 0;
    std::from_chars(cell.data(), cell.data() + cell.size(), value);
    return value;
}

bool is_member_selected(std::span<filter const> filters, local_view const& view)
{
    work_sample own;
    own.service = view.service;
    return is_selected(own, view, filters);
}

answer_table
work_answer(show_work const& query, local_view const& view, moment const& now)
{
    auto const grouping = grouping_of(query);
    auto const counters = counters_of(query);
    answer_table table;
    for (dimension const column : grouping)
    {
        table.columns.push_back(column_name(column));
    }
    for (work_counter const counter : counters)
    {
        table.columns.push_back(column_name(counter));
    }
    for (work_sample const& sample : view.samples)
    {
        bool const is_recent = sample.start + query.last >= now.monotonic;
        if (!is_recent || !is_selected(sample, view, query.filters))
        {
            continue;
        }
        table_row row;
        for (dimension const column : grouping)
        {
            row.push_back(value_of(sample, view, column));
        }
        for (work_counter const counter : counters)
        {
            row.push_back(std::to_string(counter_value(sample, counter)));
        }
        table.rows.push_back(std::move(row));
    }
    return sum_groups(table, grouping.size());
}

void merge_work(show_work const& query,
                answer_table& merged,
                answer_table const& partial)
{
    merged.rows.insert(
        merged.rows.end(), partial.rows.begin(), partial.rows.end());
    merged = sum_groups(merged, grouping_of(query).size());
}

} // namespace plantaintally::query
