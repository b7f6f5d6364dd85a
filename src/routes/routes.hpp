// The route table in force at this node: read and watched at the platform's
// service, and passed on between nodes for those that can't reach it.
#pragma once

#include "base/ids.hpp"
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

// The key of the table at the platform's service.
inline constexpr std::string_view table_key = "plantaintally/routes";

// Why a call on the platform's service was made.
enum class store_purpose
{
    read,
    watch
};

// Part of the next request that each target of a route is owed.
struct split_credit
{
    std::uint64_t version = 0;
    std::vector<double> owed;
};

// State of the routes at this node; owned by the node's state.
struct state
{
    node_id self;
    // False: requests name their service themselves and no table is read.
    bool is_enabled = false;
    route_table in_force;
    // Rules of each host, the longest prefix first, as indexes into the table.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host;
    std::map<std::string, split_credit, std::less<>> splits;
    bool is_ready = false;

    std::map<store_call_id, store_purpose> calls;
    // Position in the service's history up to which changes are known; none:
    // the table has to be read.
    std::optional<std::uint64_t> cursor;
    // Since when the platform's service gives no answer; for the log.
    std::optional<instant> store_lost_at;
    instant next_read{};
    duration retry_delay{};
    instant next_question{};
};

void start(state& routes, step& current);
void handle_store(state& routes,
                  store_call_id call,
                  store_result const& result,
                  step& current);
void handle_message(state& routes,
                    node_id const& sender,
                    message const& received,
                    step& current);
// Does what is due by now; `peers` are addresses that may be asked, and
// `member_count` the size of the fleet.
void handle_time(state& routes,
                 std::span<std::string const> peers,
                 std::size_t member_count,
                 step& current);
// A peer tells the version that it has in force.
void note_peer_version(state& routes,
                       std::string const& address,
                       std::uint64_t version,
                       step& current);
std::optional<instant> next_deadline(state const& routes);

// True once a table is in force, or none is needed.
bool is_ready(state const& routes);

// The rule for the host with the longest prefix of the path, or nullptr.
route_rule const*
find_rule(state const& routes, std::string_view host, std::string_view path);

// The service that the rule's next request goes to: smooth weighted round
// robin, so that any run of requests keeps to the weights.
std::string const& choose_service(state& routes, route_rule const& rule);

} // namespace plantaintally::routes
