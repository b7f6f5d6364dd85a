// A node's reply to an operator's command, and the exit codes that scripts
// check.
#pragma once

#include "messages/request_types.hpp"

#include <string>
#include <string_view>

namespace plantaintally::operator_tool
{

// Exit codes of plantaintallyctl.
enum class exit_code
{
    ok = 0,
    refused = 1,
    invalid = 2,
    conflict = 3,
    // The change may or may not have been made.
    unknown = 4,
    // No node answered; nothing was changed.
    unreachable = 5,
    // Some nodes did not answer in time.
    partial = 6
};

// A node's reply, as received.
struct command_reply
{
    std::string status;
    std::string message;
    answer_table table;

    bool operator==(command_reply const&) const = default;
};

// The exit code for the status of a reply; exit_code::unknown if the status is
// not recognised.
exit_code exit_code_of(std::string_view status);

} // namespace plantaintally::operator_tool
