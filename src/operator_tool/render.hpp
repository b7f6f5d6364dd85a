// Formats replies as text for a terminal, as JSON, or as a trace for a trace
// viewer.
#pragma once

#include "operator_tool/command_reply.hpp"

#include <string>

namespace plantaintally::operator_tool
{

enum class output_format
{
    table,
    json,
    // Trace event JSON, which the viewers of Chrome and Perfetto open.
    trace
};

// A table with its columns aligned by spaces, then the message, if any, on a
// line of its own.
std::string render_table(command_reply const& reply);

// {"status", "message", "rows": [{column: cell}]}, on one line.
std::string render_json(command_reply const& reply);

// A trace with one process per node, one span per request and node, and one
// instant event per entry. The reply must have the columns of a time line; any
// other reply gives an empty trace.
std::string render_trace(command_reply const& reply);

std::string render(command_reply const& reply, output_format format);

} // namespace plantaintally::operator_tool
