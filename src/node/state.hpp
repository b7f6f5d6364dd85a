// The complete state of a node, held in one place.
#pragma once

#include "admission/admission.hpp"
#include "admission/entrance_gate.hpp"
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

// Start-up options of a node, taken from the settings file.
struct options
{
    node_id self;
    std::string availability_zone;
    // Addresses of the peers to contact first; may be empty.
    std::vector<std::string> contacts;
    std::uint64_t seed = 1;
    // Maximum time that a planned stop waits for requests in flight.
    duration stop_limit = std::chrono::seconds(60);
    // Minimum time for which a planned stop continues to serve callers, so that
    // load balancers and service discovery can notice that the node is not
    // ready.
    duration stop_linger{};
    // True if services and route terms come from the operators' route table.
    bool has_routes = false;
    // False if no caller sends idempotency keys; the node then keeps no state
    // for them.
    bool accepts_idempotency_keys = true;
    // The upstream is considered gone after this time without a report; zero
    // disables the check.
    duration upstream_silence_timeout{};
    // Interval at which a relay polls for configuration changes.
    duration configuration_poll_interval = std::chrono::seconds(1);
    // Retry budget shared by all nodes of the fleet.
    retry::fleet_budget fleet_budget;
    // If false, all policies are disabled: failed requests are retried up to
    // three times at each hop, without a budget or a backoff. Used as a
    // baseline in measurements only.
    bool is_policy_enabled = true;
};

// State of the node, modified only by the reducer.
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
    admission::entrance_gate entrance;
    // When a call of the local upstream last failed because the called service,
    // or one below it, has no capacity left.
    instant last_call_without_capacity{};
    routing::state routing;
    retry::state retries;
    // Permits to retry requests that the local upstream has refused.
    retry::token_bucket retry_permits;
    exchange_table table;
    counters request_counts;
    latencies request_latencies;
    query::state queries;
    timeline::journal journal;
    // The service of the local upstream; kept after the upstream has gone.
    std::string local_service;
    // Members of the local service, as last passed to the at-most-once
    // protocol.
    std::vector<membership::member_record> once_members;
    std::uint64_t once_view_version = 0;
    // When the at-most-once protocol last received the members of the whole
    // fleet.
    instant once_fleet_updated_at{};
    // When the upstream last sent a report.
    instant last_upstream_report{};
    // The latest state of the upstream's health endpoint; informational only.
    health_hint health;
    bool is_started = false;
    // Readiness and route table version last published to the drivers on the
    // callers' side.
    bool is_published_ready = false;
    std::uint64_t published_routes_version = 0;
    bool is_upstream_drain_requested = false;
    // The time last requested with wake_at.
    instant scheduled_wakeup = instant::max();
};

// Returns the initial state, before the first event.
state make_state(options const& startup_options);

} // namespace plantaintally::node
