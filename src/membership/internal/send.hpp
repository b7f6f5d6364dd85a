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

// Has the next messages to a node sent over a new connection, as the open one
// may lead to its former process.
inline void renew_link_to(std::string const& address, step& current)
{
    current.out.push_back(renew_link{address});
}

} // namespace plantaintally::membership
