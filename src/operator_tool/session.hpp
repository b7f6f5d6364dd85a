// Carries out commands one after the other: from arguments, a file, or a
// prompt.
#pragma once

#include "base/moment.hpp"
#include "operator_tool/command_reply.hpp"
#include "operator_tool/render.hpp"

#include <iosfwd>
#include <string>
#include <string_view>

namespace plantaintally::operator_tool
{

struct session_options
{
    // host:port of a node's local listener.
    std::string node_address;
    output_format format = output_format::table;
    duration reply_timeout = std::chrono::seconds(10);
    // After an accepted change: how long to wait until it is in force on every
    // node; zero doesn't wait.
    duration in_force_timeout = std::chrono::seconds(6);
};

// Checks the statement, sends it, and prints the reply or the error. A change
// gets an id, so that it is recognised if it is sent again.
exit_code run_command(session_options const& options,
                      std::string_view text,
                      std::ostream& out,
                      std::ostream& errors);

// Runs every line of a stream that is neither empty nor a comment (#). Stops
// at the first line that fails and tells its number.
exit_code run_script(session_options const& options,
                     std::istream& script,
                     std::ostream& out,
                     std::ostream& errors);

// Reads commands at a prompt with history until end of input or "quit".
exit_code run_prompt(session_options const& options,
                     std::ostream& out,
                     std::ostream& errors);

} // namespace plantaintally::operator_tool
