#include "logging/logging.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <iterator>

namespace plantaintally::logging
{

namespace
{

// Room for the fields of an entry's line that have a bounded length.
constexpr std::size_t fixed_entry_bytes = 96;

std::string_view level_name(level severity)
{
    constexpr std::array<std::string_view, 4> names{
        "debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(severity));
}

// Appends the text with control characters replaced by "?", so that a record
// stays on one line.
void append_printable(std::string& line, std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    for (char const character : text)
    {
        auto const code = static_cast<unsigned char>(character);
        line += code < first_printable || code == del ? '?' : character;
    }
}

std::string
format_plain(record const& line, std::string_view node, std::string_view time)
{
    std::string text;
    for (auto const column :
         {time, level_name(line.severity), node, line.subject, line.kind})
    {
        text += text.empty() ? "" : " ";
        append_printable(text, column);
    }
    for (auto const& [name, value] : line.details)
    {
        text += " ";
        append_printable(text, name);
        text += "=";
        append_printable(text, value);
    }
    return text;
}

std::string
format_json(record const& line, std::string_view node, std::string_view time)
{
    nlohmann::ordered_json object{{"time", time},
                                  {"level", level_name(line.severity)},
                                  {"node", node},
                                  {"subject", line.subject},
                                  {"kind", line.kind}};
    for (auto const& [name, value] : line.details)
    {
        object[object.contains(name) ? name + "_" : name] = value;
    }
    constexpr int one_line = -1;
    return object.dump(
        one_line, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

std::string format_record(record const& line,
                          format line_format,
                          std::string_view node,
                          std::string_view time)
{
    return line_format == format::json ? format_json(line, node, time)
                                       : format_plain(line, node, time);
}

std::string format_entry(timeline_entry const& entry,
                         level severity,
                         std::string_view node,
                         std::string_view time)
{
    std::string text;
    text.reserve(time.size() + node.size() + entry.trace_id.size() +
                 entry.detail.size() + fixed_entry_bytes);
    for (std::string_view const column : {time,
                                          level_name(severity),
                                          node,
                                          std::string_view(entry.subject),
                                          std::string_view(entry.kind)})
    {
        text += text.empty() ? "" : " ";
        append_printable(text, column);
    }
    fmt::format_to(std::back_inserter(text),
                   " at={}.{}",
                   entry.at.wall_us,
                   entry.at.counter);
    if (!entry.trace_id.empty())
    {
        text += " trace_id=";
        append_printable(text, entry.trace_id);
    }
    if (!entry.detail.empty())
    {
        text += ' ';
        append_printable(text, entry.detail);
    }
    return text;
}

fields split_detail(std::string_view detail)
{
    fields parts;
    while (!detail.empty())
    {
        auto const end = detail.find(' ');
        auto const word = detail.substr(0, end);
        detail.remove_prefix(end == std::string_view::npos ? detail.size()
                                                           : end + 1);
        auto const equals = word.find('=');
        if (word.empty())
        {
            continue;
        }
        if (equals == std::string_view::npos)
        {
            parts.emplace_back("note", word);
            continue;
        }
        parts.emplace_back(word.substr(0, equals), word.substr(equals + 1));
    }
    return parts;
}

} // namespace plantaintally::logging
