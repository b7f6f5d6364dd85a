// Chooses the member of a service to which a request is sent, by load,
// admission levels, failures and availability zone.
#pragma once

#include "base/moment.hpp"
#include "base/random.hpp"
#include "base/string_hash.hpp"
#include "membership/messages.hpp"
#include "messages/request_types.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantaintally::routing
{

// The lowest urgency that a member admits for requests of one rank, as it
// reported.
struct admission_report
{
    std::uint32_t level = 0;
    instant expires_at{};
    // Time from which a request below the level may be sent as a probe.
    instant next_probe{};
};

// State of another node as observed by this node through its own requests.
struct peer_view
{
    std::uint32_t load_permille = 0;
    instant load_updated_at{};
    // Requests of this node to the peer that are not finished.
    std::uint32_t in_flight = 0;
    // Requests sent since the last load report, which doesn't include them.
    std::uint32_t sent_since_report = 0;
    // Failures since the last report.
    std::uint32_t failures = 0;
    // Ejections since the last report.
    std::uint32_t ejections = 0;
    instant ejected_until{};
    bool is_ejected = false;
    // True while the one request is in flight that decides whether an ejected
    // peer is used again.
    bool has_trial_in_flight = false;
    // The peer counts as draining until this time.
    instant draining_until{};
    // By rank.
    std::map<std::string, admission_report, std::less<>> levels;
};

struct state
{
    // By address.
    std::unordered_map<std::string, peer_view, string_hash, std::equal_to<>>
        peers;
};

// The request to be routed, and the constraints on the choice.
struct route_query
{
    std::string_view rank;
    std::uint32_t urgency = 0;
    // Zone of this node.
    std::string_view availability_zone;
    // Addresses that are chosen only if no other is available.
    std::span<std::string const> tried;
    // Address that is never chosen; empty if there is none.
    std::string_view excluded;
    instant now{};
};

enum class route_kind
{
    // No member accepts requests.
    none,
    // No member admits this rank at the request's urgency.
    shed,
    found
};

struct route
{
    route_kind kind = route_kind::none;
    std::string address;
    // True if the request is below the member's admission level and is sent to
    // find out whether the level still applies.
    bool is_probe = false;
};

// Chooses the less loaded of two random members. Members in this node's own
// availability zone are preferred until they are loaded. Draining, gone and
// ejected members are excluded, as are those already tried; tried and ejected
// ones are used if there are no others.
route choose(state& routing,
             std::span<membership::member_record const> members,
             route_query const& request,
             random_source& random);

// Records the load and admission level of this node itself, which is a member
// as well.
void note_own_report(state& routing,
                     std::string_view address,
                     std::string_view rank,
                     hop_report const& report,
                     random_source& random,
                     instant now);

// Records that a request was sent to the peer.
void note_sent(state& routing, std::string_view address);

// Records the report that came with an answer or a refusal of the peer.
void note_report(state& routing,
                 std::string_view address,
                 std::string_view rank,
                 hop_report const& report,
                 random_source& random,
                 instant now);

// Records that an attempt ended without an answer, and ejects the peer after
// too many failures. `members` are the members of the service; their number
// limits how many of them may be ejected.
void note_failure(state& routing,
                  std::string_view address,
                  std::span<membership::member_record const> members,
                  random_source& random,
                  instant now);

// Records that this node cancelled an attempt, which says nothing about the
// peer's health.
void note_cancelled(state& routing, std::string_view address);

// True if the peer is excluded because of failures.
bool is_ejected(peer_view const& view, instant now);
bool is_ejected(state const& routing, std::string_view address, instant now);

// Lowest admission level of the rank among the members that accept requests;
// zero if one of them has not reported a level.
std::uint32_t
lowest_admission_level(state const& routing,
                       std::span<membership::member_record const> members,
                       std::string_view rank,
                       instant now);

// Drops the state of peers whose address is not in `known`, once no request to
// them is in flight.
void forget_absent(state& routing, std::span<std::string const> known);

} // namespace plantaintally::routing
