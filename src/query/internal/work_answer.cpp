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

constexpr std::array<work_figure, 5> every_figure = {work_figure::admitted,
                                                     work_figure::shed,
                                                     work_figure::queued,
                                                     work_figure::retried,
                                                     work_figure::refused};

std::vector<work_figure> figures_of(show_work const& asked)
{
    if (!asked.figures.empty())
    {
        return asked.figures;
    }
    return {every_figure.begin(), every_figure.end()};
}

std::vector<dimension> grouping_of(show_work const& asked)
{
    if (!asked.grouping.empty())
    {
        return asked.grouping;
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

std::string column_name(work_figure figure)
{
    switch (figure)
    {
    case work_figure::admitted:
        return "admitted";
    case work_figure::shed:
        return "shed";
    case work_figure::queued:
        return "queued";
    case work_figure::retried:
        return "retried";
    case work_figure::refused:
        return "refused";
    }
    return {};
}

std::uint64_t figure_of(work_sample const& sample, work_figure figure)
{
    switch (figure)
    {
    case work_figure::admitted:
        return sample.admitted;
    case work_figure::shed:
        return sample.shed;
    case work_figure::queued:
        return sample.queued;
    case work_figure::retried:
        return sample.retried;
    case work_figure::refused:
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

// Groups by the row's leading cells and sums the others.
answer_table summed(answer_table const& table, std::size_t group_width)
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
    answer_table merged{table.columns, {}};
    for (auto const& [group, sums] : groups)
    {
        table_row row = group;
        for (std::uint64_t const sum : sums)
        {
            row.push_back(std::to_string(sum));
        }
        merged.rows.push_back(std::move(row));
    }
    return merged;
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
work_answer(show_work const& asked, local_view const& view, moment const& now)
{
    auto const grouping = grouping_of(asked);
    auto const figures = figures_of(asked);
    answer_table table;
    for (dimension const column : grouping)
    {
        table.columns.push_back(column_name(column));
    }
    for (work_figure const figure : figures)
    {
        table.columns.push_back(column_name(figure));
    }
    for (work_sample const& sample : view.samples)
    {
        bool const is_recent = sample.begin + asked.last >= now.monotonic;
        if (!is_recent || !is_selected(sample, view, asked.filters))
        {
            continue;
        }
        table_row row;
        for (dimension const column : grouping)
        {
            row.push_back(value_of(sample, view, column));
        }
        for (work_figure const figure : figures)
        {
            row.push_back(std::to_string(figure_of(sample, figure)));
        }
        table.rows.push_back(std::move(row));
    }
    return summed(table, grouping.size());
}

void merge_work(show_work const& asked,
                answer_table& into,
                answer_table const& part)
{
    into.rows.insert(into.rows.end(), part.rows.begin(), part.rows.end());
    into = summed(into, grouping_of(asked).size());
}

} // namespace plantaintally::query
