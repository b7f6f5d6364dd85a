// The lines of an INI file with their numbers, for messages that point there.
#pragma once

#include "base/result.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace plantaintally::settings
{

// One `key = value` under its section; views into the file's text.
struct ini_line
{
    std::size_t number = 0;
    std::string_view section;
    std::string_view key;
    std::string_view value;
};

// A `[section]` heading.
struct ini_heading
{
    std::size_t number = 0;
    std::string_view section;
};

struct ini_file
{
    std::vector<ini_heading> headings;
    std::vector<ini_line> lines;
};

// The headings and lines of the text; comments begin with ; or #. Fails as
// "file:line: what is wrong" for a line that is neither.
result<ini_file> scan_ini(std::string_view text, std::string_view file_name);

} // namespace plantaintally::settings
