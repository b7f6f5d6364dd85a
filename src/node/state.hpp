// The whole state of a node, owned in one place.
#pragma once

#include "admission/admission.hpp"
#include "admission/source_throttle.hpp"
#include "base/random.hpp"
#include "configuration/configuration.hpp"
#include "departures/departures.hpp"
#include "lifecycle/lifecycle.hpp"
#include "membership/membership.hpp"
#include "messages/events.hpp"
#include "messages/step.hpp"
#include "node/counters.hpp"
#include "node/exchange.hpp"
#include "node/latencies.hpp"
#include "once/once.hpp"
#include "query/query.hpp"
#include "retry/policy.hpp"
#include "routes/routes.hpp"
#include "routing/routing.hpp"
#include "timeline/journal.hpp"

#include <string>
#include <vector>

namespace plantaintally::node
{

// What the node is started with; from the settings file.
struct options
{
    node_id self;
    std::string availability_zone;
    // Peer addresses to contact first; may be empty.
    std::vector<std::string> contacts;
    std::uint64_t seed = 1;
    // Longest time a planned stop waits for requests in flight.
    duration stop_limit = std::chrono::seconds(60);
    // A planned stop serves callers at least this long, so that they have been
    // told elsewhere that the node is not ready.
    duration stop_linger{};
    // True if the operators' route table names services and terms.
    bool has_routes = false;
    // False if no caller sends idempotency keys: nothing is kept for them.
    bool takes_keys = true;
    // An upstream that has not reported for this long is gone; zero: never.
    duration upstream_silence{};
    // Time between two polls for changes of the ranks by a relay.
    duration configuration_poll_interval = std::chrono::seconds(1);
    // What all nodes together may repeat.
    retry::fleet_budget fleet_budget;
    // False turns every policy off: requests pass through with three blind
    // retries a hop. For comparison in measurements only.
    bool is_policy_enabled = true;
};

// State of the node; the reducer is the only one to change it.
struct state
{
    options startup_options;
    random_source random;
    id_source ids;
    timeline::hybrid_clock clock;
    membership::state membership;
    configuration::state configuration;
    routes::state routes;
    departures::state departures;
    once::state once;
    lifecycle::state lifecycle;
    admission::state admission;
    admission::source_throttle throttle;
    routing::state routing;
    retry::state retries;
    // Permits to repeat requests that the own upstream refused.
    retry::token_bucket retry_permits;
    exchange_table table;
    counters request_counts;
    latencies request_latencies;
    query::state queries;
    timeline::journal journal;
    // The service of the own upstream, also after the upstream has gone.
    std::string local_service;
    // The members of the own service that the at-most-once protocol knows.
    std::vector<membership::member_record> once_members;
    std::uint64_t once_view_version = 0;
    // When that protocol was last told of the whole fleet.
    instant once_fleet_updated_at{};
    // When the upstream last reported.
    instant last_upstream_report{};
    // The newest word of the upstream's health endpoint; decides nothing.
    health_hint health;
    bool is_started = false;
    // What the callers' side was last told.
    bool is_published_ready = false;
    std::uint64_t published_routes_version = 0;
    bool is_upstream_drain_requested = false;
    // The time last asked for with wake_at.
    instant scheduled_wake = instant::max();
};

// A node that has seen no event yet.
state make_state(options const& startup_options);

} // namespace plantaintally::node
