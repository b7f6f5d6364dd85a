// Parser of the operators' statements: one grammar for queries and changes,
// described in docs/LANGUAGE.md.
#pragma once

#include "base/result.hpp"
#include "query/statement.hpp"

#include <string>
#include <string_view>

namespace plantaintally::query
{

// Maximum length of a statement, in bytes.
inline constexpr std::size_t max_statement_bytes = 4096;

// Parses one statement. Errors: too_large if the text exceeds
// max_statement_bytes; invalid_input for a syntax error, with a message that
// states the column, the expected and the found token, and a hint.
result<statement> parse_statement(std::string_view text);

// True if the first word is the verb of a change, ignoring case. The rest of
// the text is not checked.
bool is_change(std::string_view text);

// Summary of the syntax, printed as help text.
std::string_view language_summary();

} // namespace plantaintally::query
