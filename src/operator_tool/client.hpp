// Sends operators' commands to a node's local listener.
#pragma once

#include "base/moment.hpp"
#include "base/result.hpp"
#include "operator_tool/command_reply.hpp"

#include <string>
#include <string_view>

namespace plantaintally::operator_tool
{

// Sends one command and waits for the reply, at most `limit`. Errors:
// invalid_input for a malformed address, unavailable if no connection could be
// opened, timeout or io_failure if the command may have been carried out.
result<command_reply> send_command(std::string_view node_address,
                                   std::string_view text,
                                   duration limit);

} // namespace plantaintally::operator_tool
