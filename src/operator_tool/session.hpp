// Runs operators' commands, one after the other, from the command line, a
// script or a prompt.
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
    // Maximum time to wait for each reply.
    duration reply_timeout = std::chrono::seconds(10);
    // Maximum time to wait until an accepted change is in force on every node;
    // zero does not wait.
    duration in_force_timeout = std::chrono::seconds(6);
};

// Parses the statement, sends it, and prints the reply or the error. A change
// without an id gets one, so that nodes recognise it if it is sent again.
exit_code run_command(session_options const& options,
                      std::string_view text,
                      std::ostream& out,
                      std::ostream& errors);

// Runs the commands of a stream, one per line; blank lines and comments (#) are
// skipped. Stops at the first command that fails and prints its line number.
exit_code run_script(session_options const& options,
                     std::istream& script,
                     std::ostream& out,
                     std::ostream& errors);

// Reads commands at a prompt with history until the end of input, "quit" or
// "exit". Returns the exit code of the last command.
exit_code run_prompt(session_options const& options,
                     std::ostream& out,
                     std::ostream& errors);

} // namespace plantaintally::operator_tool
