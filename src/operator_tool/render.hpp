// Replies as text for a terminal, as JSON, and as a trace for a viewer.
#pragma once

#include "operator_tool/command_reply.hpp"

#include <string>

namespace plantaintally::operator_tool
{

enum class output_format
{
    table,
    json,
    // Trace event JSON, as Chrome's and Perfetto's viewers read it.
    trace
};

// Columns aligned by spaces, then the message, if any, on a line of its own.
std::string render_table(command_reply const& reply);

// {"status", "message", "rows": [{column: cell}]}, on one line.
std::string render_json(command_reply const& reply);

// A process per node and a span per request and node; needs the columns of a
// time line, other replies give an empty trace.
std::string render_trace(command_reply const& reply);

std::string render(command_reply const& reply, output_format format);

} // namespace plantaintally::operator_tool
