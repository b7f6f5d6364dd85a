#include "operator_tool/render.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace plantaintally::operator_tool
{

namespace
{

std::vector<std::size_t> column_widths(answer_table const& table)
{
    std::vector<std::size_t> widths;
    for (std::string const& column : table.columns)
    {
        widths.push_back(column.size());
    }
    for (table_row const& row : table.rows)
    {
        for (std::size_t i = 0; i < std::min(row.size(), widths.size()); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    return widths;
}

std::string aligned_line(table_row const& cells,
                         std::vector<std::size_t> const& widths)
{
    std::string line;
    for (std::size_t i = 0; i < std::min(cells.size(), widths.size()); ++i)
    {
        line += fmt::format("{:<{}}  ", cells[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

std::string dump(nlohmann::ordered_json const& json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Indices of the columns of a time line.
struct timeline_columns
{
    static constexpr std::size_t time = 0;
    static constexpr std::size_t node = 1;
    static constexpr std::size_t request = 2;
    static constexpr std::size_t subject = 3;
    static constexpr std::size_t kind = 4;
    static constexpr std::size_t detail = 5;
    static constexpr std::size_t count = 6;
};

std::int64_t microseconds_of(std::string const& time)
{
    return std::strtoll(time.c_str(), nullptr, 10);
}

// Time from the first to the last entry of a request at a node, shown as a
// thread of the node's process.
struct request_span
{
    std::int64_t begin_us = 0;
    std::int64_t end_us = 0;
    std::size_t thread_id = 0;
};

// Converts the rows of a time line to trace events.
class trace_builder
{
public:
    void add(table_row const& row)
    {
        std::size_t const process_id = this->process_id_of(row);
        std::int64_t const at_us = microseconds_of(row[timeline_columns::time]);
        request_span const& span = this->extend_span(process_id, row, at_us);
        this->events.push_back({{"name", row[timeline_columns::kind]},
                                {"cat", row[timeline_columns::subject]},
                                {"ph", "i"},
                                {"s", "t"},
                                {"ts", at_us},
                                {"pid", process_id},
                                {"tid", span.thread_id},
                                {"args",
                                 {{"request", row[timeline_columns::request]},
                                  {"detail", row[timeline_columns::detail]}}}});
    }

    nlohmann::ordered_json finish()
    {
        for (auto const& [key, span] : this->spans)
        {
            if (key.second.empty())
            {
                continue;
            }
            this->events.push_back({{"name", key.second},
                                    {"cat", "request"},
                                    {"ph", "X"},
                                    {"ts", span.begin_us},
                                    {"dur", span.end_us - span.begin_us},
                                    {"pid", key.first},
                                    {"tid", span.thread_id}});
        }
        return {{"displayTimeUnit", "ms"}, {"traceEvents", this->events}};
    }

private:
    std::size_t process_id_of(table_row const& row)
    {
        std::string const& node = row[timeline_columns::node];
        auto const [entry, is_new] =
            this->processes.emplace(node, this->processes.size() + 1);
        if (is_new)
        {
            this->events.push_back({{"name", "process_name"},
                                    {"ph", "M"},
                                    {"pid", entry->second},
                                    {"args", {{"name", node}}}});
        }
        return entry->second;
    }

    request_span const& extend_span(std::size_t process_id,
                                    table_row const& row,
                                    std::int64_t at_us)
    {
        auto const key = std::pair(process_id, row[timeline_columns::request]);
        auto const [entry, is_new] = this->spans.emplace(
            key, request_span{at_us, at_us, this->spans.size() + 1});
        request_span& span = entry->second;
        span.begin_us = std::min(span.begin_us, at_us);
        span.end_us = std::max(span.end_us, at_us);
        return span;
    }

    nlohmann::ordered_json events = nlohmann::ordered_json::array();
    std::map<std::string, std::size_t> processes;
    std::map<std::pair<std::size_t, std::string>, request_span> spans;
};

} // namespace

std::string render_table(command_reply const& reply)
{
    std::string text;
    if (!reply.table.columns.empty())
    {
        auto const widths = column_widths(reply.table);
        text += aligned_line(reply.table.columns, widths);
        for (table_row const& row : reply.table.rows)
        {
            text += aligned_line(row, widths);
        }
    }
    if (!reply.message.empty())
    {
        text += (reply.status == "ok" ? "" : reply.status + ": ") +
                reply.message + "\n";
    }
    return text;
}

std::string render_json(command_reply const& reply)
{
    nlohmann::ordered_json json;
    json["status"] = reply.status;
    json["message"] = reply.message;
    json["rows"] = nlohmann::ordered_json::array();
    for (table_row const& row : reply.table.rows)
    {
        nlohmann::ordered_json cells = nlohmann::ordered_json::object();
        auto const& columns = reply.table.columns;
        for (std::size_t i = 0; i < std::min(row.size(), columns.size()); ++i)
        {
            cells[columns[i]] = row[i];
        }
        json["rows"].push_back(std::move(cells));
    }
    return dump(json) + "\n";
}

std::string render_trace(command_reply const& reply)
{
    trace_builder builder;
    if (reply.table.columns.size() == timeline_columns::count)
    {
        for (table_row const& row : reply.table.rows)
        {
            if (row.size() == timeline_columns::count)
            {
                builder.add(row);
            }
        }
    }
    return dump(builder.finish()) + "\n";
}

std::string render(command_reply const& reply, output_format format)
{
    switch (format)
    {
    case output_format::table:
        return render_table(reply);
    case output_format::json:
        return render_json(reply);
    case output_format::trace:
        return render_trace(reply);
    }
    return {};
}

} // namespace plantaintally::operator_tool
