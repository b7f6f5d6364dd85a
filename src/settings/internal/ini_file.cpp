#include "settings/internal/ini_file.hpp"

#include <string>

namespace plantaintally::settings
{

namespace
{

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    auto const last = text.find_last_not_of(blanks);
    return text.substr(first, last - first + 1);
}

bool is_comment(std::string_view line)
{
    return line.empty() || line.front() == ';' || line.front() == '#';
}

std::string_view take_line(std::string_view& text)
{
    auto const end = text.find('\n');
    auto const line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return line;
}

std::string with_location(std::string_view file_name,
                          std::size_t line_number,
                          std::string_view problem)
{
    return std::string(file_name) + ":" + std::to_string(line_number) + ": " +
           std::string(problem);
}

// Parses one trimmed line and adds it to the file. Returns the problem, or an
// empty text on success.
std::string_view
parse_line(ini_file& file, std::size_t line_number, std::string_view line)
{
    if (line.front() == '[')
    {
        if (line.back() != ']' || line.size() < 3)
        {
            return "malformed section heading; allowed: [section]";
        }
        file.headings.push_back({line_number, line.substr(1, line.size() - 2)});
        return {};
    }
    auto const equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0)
    {
        return "malformed line; allowed: [section], key = value, "
               "; comment";
    }
    if (file.headings.empty())
    {
        return "key before the first section; allowed: [section] first";
    }
    file.entries.push_back({line_number,
                            file.headings.back().section,
                            trim(line.substr(0, equals)),
                            trim(line.substr(equals + 1))});
    return {};
}

} // namespace

result<ini_file> scan_ini(std::string_view text, std::string_view file_name)
{
    ini_file file;
    for (std::size_t line_number = 1; !text.empty(); ++line_number)
    {
        auto const line = trim(take_line(text));
        if (is_comment(line))
        {
            continue;
        }
        auto const problem = parse_line(file, line_number, line);
        if (!problem.empty())
        {
            return fail(errc::invalid_input,
                        with_location(file_name, line_number, problem));
        }
    }
    return file;
}

} // namespace plantaintally::settings
