// The drivers of a node: sockets, timers, logs and recordings around a reducer.
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

// The decisions that the drivers carry out.
struct decisions
{
    // Takes one event and gives the effects of it, in order.
    std::function<effects(event const&, moment const&)> reduce;
    // The node's own figures, for metrics.
    std::function<std::vector<node::statistic>()> collect_statistics;
    // The latest reading of the node's hybrid clock; stamps control messages.
    std::function<hybrid_time()> read_clock;
};

// Runs a node. Everything happens in the thread that calls run().
class runtime
{
public:
    // `self` is what the node is called in control messages.
    runtime(settings::node_settings const& chosen,
            node_id self,
            decisions decided,
            dialect spoken = native_dialect());
    ~runtime();
    runtime(runtime const&) = delete;
    runtime& operator=(runtime const&) = delete;

    // Opens the listeners, the control link and the recording; fails if one of
    // them can't be had. Nothing is accepted yet.
    result<void> open();

    // Works until the reducer asks for the end of the process and what it has
    // answered by then is written. SIGTERM and SIGINT ask for a planned stop.
    void run();

    // What is called on SIGHUP, to read the settings anew; a failure leaves
    // those in force.
    void on_reload(std::function<result<settings::node_settings>()> load);

    // Asks for a planned stop, as SIGTERM does; from any thread.
    void request_stop();

private:
    class implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace plantaintally::drivers
