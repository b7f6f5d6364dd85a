// Sends control messages of the membership protocol.
#pragma once

#include "membership/messages.hpp"
#include "messages/step.hpp"

#include <string>
#include <utility>

namespace plantaintally::membership
{

inline void send(std::string const& address, message content, step& current)
{
    current.out.push_back(
        send_control{address, control_message(std::move(content))});
}

} // namespace plantaintally::membership
