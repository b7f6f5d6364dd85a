// Runs the I/O of a node around its reducer: sockets, timers, logging and event
// traces.
#pragma once

#include "base/moment.hpp"
#include "base/result.hpp"
#include "drivers/dialect.hpp"
#include "messages/effects.hpp"
#include "messages/events.hpp"
#include "node/statistics.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace plantaintally::drivers
{

// The functions of the node's core that the drivers call.
struct node_callbacks
{
    // Processes one event and returns its effects in the order in which to
    // execute them.
    std::function<effects(event const&, moment const&)> reduce;
    // The statistics of the node's core, for the metrics endpoint.
    std::function<std::vector<node::statistic>()> collect_statistics;
    // The latest reading of the node's hybrid clock; control messages are
    // stamped with it.
    std::function<hybrid_time()> read_clock;
};

// Runs a node. All work is done in the thread that calls run().
class runtime
{
public:
    // `self` identifies this node as the sender of control messages.
    runtime(settings::node_settings const& config,
            node_id self,
            node_callbacks callbacks,
            dialect external_dialect = native_dialect());
    ~runtime();
    runtime(runtime const&) = delete;
    runtime& operator=(runtime const&) = delete;

    // Binds the listeners and the control link and opens the trace file; fails
    // if any of them can't be opened. No connection is accepted before run().
    result<void> open();

    // Runs until the reducer has requested the end of the process and the
    // pending responses are written or their time limit has passed. SIGTERM and
    // SIGINT request a planned stop.
    void run();

    // Sets the function that reloads the settings on SIGHUP. If it fails, the
    // current settings stay in force.
    void on_reload(std::function<result<settings::node_settings>()> load);

    // Requests a planned stop, as SIGTERM does. May be called from any thread.
    void request_stop();

private:
    class implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace plantaintally::drivers
