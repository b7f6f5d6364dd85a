// The operators' language: one grammar for queries and changes. The grammar is
// described in docs/LANGUAGE.md.
#pragma once

#include "base/result.hpp"
#include "query/statement.hpp"

#include <string>
#include <string_view>

namespace plantaintally::query
{

// Longest statement that is read, in bytes.
inline constexpr std::size_t max_statement_bytes = 4096;

// The statement, or an error of code invalid_input whose message gives the
// column, what was expected there, what was found, and a hint.
result<statement> parse_statement(std::string_view text);

// True if the text starts with the verb of a change.
bool is_change(std::string_view text);

// A short summary of the language, one statement a line.
std::string_view language_summary();

} // namespace plantaintally::query
