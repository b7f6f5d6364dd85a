// Best-effort control messages between nodes. The links speak the protocol of
// nng's PUSH and PULL sockets over TCP; they are made here, since the library
// gives no access to the socket options by which a silent connection is
// noticed.
#pragma once

#include "base/result.hpp"
#include "drivers/internal/counters.hpp"
#include "drivers/internal/task_scope.hpp"
#include "messages/control_message.hpp"
#include "settings/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantaintally::drivers
{

// Returns the address of a node's control listener, which uses the port after
// its peer listener's. Fails if the address is invalid or has no next port.
result<settings::endpoint> control_endpoint(std::string const& peer_address);

class control_link
{
public:
    struct options
    {
        // Address of this node's peer listener.
        settings::endpoint peer_address;
        std::size_t max_links = 0;
        std::uint32_t max_incoming_links = 0;
    };

    // `on_message` is called in the drivers' thread for every well-formed
    // message.
    control_link(task_scope& scope,
                 counters& shared_metrics,
                 options const& new_options,
                 std::function<void(control_envelope)> on_message);
    ~control_link();
    control_link(control_link const&) = delete;
    control_link& operator=(control_link const&) = delete;

    // Starts listening; fails if the port can't be bound.
    result<void> open();
    // Sends the message without blocking, or drops it.
    void send(std::string const& peer_address,
              control_envelope const& envelope);
    // Opens a second connection to the node and moves the link to it once it is
    // established; does nothing if there is no open link.
    void renew(std::string const& peer_address);
    // Closes all links; no message is delivered after this.
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace plantaintally::drivers
