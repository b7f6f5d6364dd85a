// Splits an INI file into entries with line numbers for error messages.
#pragma once

#include "base/result.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace plantaintally::settings
{

// A `key = value` line with its section; views into the file's text.
struct ini_entry
{
    std::size_t line_number = 0;
    std::string_view section;
    std::string_view key;
    std::string_view value;
};

// A `[section]` heading.
struct ini_heading
{
    std::size_t line_number = 0;
    std::string_view section;
};

struct ini_file
{
    std::vector<ini_heading> headings;
    std::vector<ini_entry> entries;
};

// Splits the text into headings and entries; comments begin with ; or #. Fails
// with errc::invalid_input and "file:line: problem" for any other line.
result<ini_file> scan_ini(std::string_view text, std::string_view file_name);

} // namespace plantaintally::settings
