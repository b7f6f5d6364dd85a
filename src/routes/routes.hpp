// The route table in force at this node. Nodes read and watch it at the
// platform's key-value store, and pass it on to nodes that can't reach the
// store or don't watch it.
#pragma once

#include "base/ids.hpp"
#include "messages/patient_calls.hpp"
#include "messages/step.hpp"
#include "messages/store_types.hpp"
#include "routes/messages.hpp"
#include "routes/route_table.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::routes
{

// The key of the table at the platform's key-value store.
inline constexpr std::string_view table_key = "plantaintally/routes";

// The purpose of a call to the platform's key-value store.
enum class store_purpose
{
    read,
    watch
};

// State of the smooth weighted round robin between the targets of a route, for
// one version of the table.
struct split_state
{
    std::uint64_t version = 0;
    std::vector<double> current_weights;
};

// State of the routes at this node; owned by the node's state.
struct state
{
    node_id self;
    // If false, requests name their service themselves and no table is read.
    bool is_enabled = false;
    route_table in_force;
    // Indexes into the table's rules for each host, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> rules_by_host;
    std::map<std::string, split_state, std::less<>> split_states;
    bool is_ready = false;

    std::map<store_call_id, store_purpose> calls;
    patient_calls patience;
    // Position in the key-value store's history up to which changes are
    // known. If unset, the table has to be read.
    std::optional<std::uint64_t> cursor;
    // Time of the first failed call since the last successful one; only used in
    // the time line.
    std::optional<instant> store_unreachable_since;
    instant next_read{};
    duration retry_delay{};
    instant next_table_request{};
    // When a peer last stated the version that it has in force, or when this
    // node's first table came into force.
    instant peer_heard_at{};
    // True until the peers have been notified of the version in force.
    bool has_news = false;
    // The version that a peer was last asked for because it has a newer one,
    // and when.
    std::uint64_t requested_version = 0;
    instant requested_at{};
    // When the store is read for a version that peers have but have not sent;
    // unset while none is known.
    std::optional<instant> missing_version_read{};
};

void start(state& routes, step& current);
// Path of the health endpoint of the service's upstreams, as the table in force
// states it; empty if it states none.
std::string_view health_path(state const& routes, std::string_view service);

// Gives up calls whose answers were overtaken by the answer to a later call of
// any part of the reducer.
void give_up_overtaken(state& routes, store_call_id answered, step& current);
void handle_store(state& routes,
                  store_call_id call,
                  store_result const& result,
                  step& current);
// Reads the table again after the key-value store has come back from an older
// copy: it gives out revisions again, so the cursor and the results of earlier
// calls are void.
void handle_store_restored(state& routes, step& current);
void handle_message(state& routes,
                    node_id const& sender,
                    message const& received,
                    step& current);
// Performs the actions that are due. `peers` are the addresses of nodes that
// may be asked for the table, and `member_count` is the size of the fleet.
void handle_time(state& routes,
                 std::span<std::string const> peers,
                 std::size_t member_count,
                 step& current);
// Handles the version that a peer has in force, and requests its table if it is
// newer.
void note_peer_version(state& routes,
                       std::string const& address,
                       std::uint64_t version,
                       step& current);
std::optional<instant> next_wakeup(state const& routes);

// Returns true if a table is in force or none is needed.
bool is_ready(state const& routes);

// Returns the host's rule with the longest matching prefix of the path, or
// nullptr.
route_rule const*
find_rule(state const& routes, std::string_view host, std::string_view path);

// Returns the service for the rule's next request. Uses smooth weighted round
// robin, so that even a short sequence of requests follows the weights.
std::string const& choose_service(state& routes, route_rule const& rule);

} // namespace plantaintally::routes
