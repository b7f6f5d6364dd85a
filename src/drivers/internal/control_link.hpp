// Control messages between nodes over nng: PUSH to PULL, best effort.
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

// The address of a node's control listener: the port after its peer listener's.
result<settings::endpoint> control_endpoint(std::string const& peer_address);

class control_link
{
public:
    struct options
    {
        // The peer listener's address of this node.
        settings::endpoint peer_address;
        std::size_t max_links = 0;
    };

    // `receive` is called in the drivers' thread for every well-formed message.
    control_link(task_scope& scope,
                 counters& counting,
                 options wanted,
                 std::function<void(control_envelope)> receive);
    ~control_link();
    control_link(control_link const&) = delete;
    control_link& operator=(control_link const&) = delete;

    // Listens; fails if the port can't be had.
    result<void> open();
    // Sends at once or drops the message; never waits.
    void send(std::string const& peer_address,
              control_envelope const& envelope);
    // Ends all links; no message is handed over after this.
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace plantaintally::drivers
