// Sends operators' commands to a node's local listener.
#pragma once

#include "base/moment.hpp"
#include "base/result.hpp"
#include "operator_tool/command_reply.hpp"

#include <string>
#include <string_view>

namespace plantaintally::operator_tool
{

// Sends one command and waits up to `timeout` for the reply. Errors:
// invalid_input if the address is malformed, unavailable if no connection could
// be opened, timeout or io_failure if the node may have executed the command.
result<command_reply> send_command(std::string_view node_address,
                                   std::string_view text,
                                   duration timeout);

} // namespace plantaintally::operator_tool
