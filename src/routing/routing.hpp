// Which member of a service a request is sent to.
#pragma once

#include "base/moment.hpp"
#include "base/random.hpp"
#include "membership/messages.hpp"
#include "messages/request_types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::routing
{

// The lowest urgency that a member said it admits, for requests of one rank.
struct admission_report
{
    std::uint32_t level = 0;
    instant expires{};
    // When the next request is let through although the level forbids it.
    instant next_probe{};
};

// What this node has learnt of another node by its own calls.
struct peer_view
{
    std::uint32_t load_permille = 0;
    instant load_seen{};
    std::uint32_t in_flight = 0;
    // Requests sent since the load was told, which it doesn't count.
    std::uint32_t sent_since = 0;
    // Failures since the last whole answer.
    std::uint32_t failures = 0;
    // Times that the node was ejected without recovering since.
    std::uint32_t ejections = 0;
    instant ejected_until{};
    bool is_ejected = false;
    bool has_trial = false;
    instant draining_until{};
    std::map<std::string, admission_report, std::less<>> levels;
};

// Views by peer address.
struct state
{
    std::map<std::string, peer_view, std::less<>> peers;
};

// The request to be routed, and who routes it.
struct route_query
{
    std::string_view rank;
    std::uint32_t urgency = 0;
    std::string_view availability_zone;
    // Addresses that are not to be chosen while there are others.
    std::span<std::string const> tried;
    // Address never to be chosen; empty: none.
    std::string_view excluded;
    instant now{};
};

enum class route_kind
{
    // No member takes work.
    none,
    // Every member said that it does not admit this rank.
    shed,
    found
};

struct route
{
    route_kind kind = route_kind::none;
    std::string address;
    // True if the member's level forbids the rank and this request finds out
    // whether it still does.
    bool is_probe = false;
};

// Chooses the less loaded of two random members, those of the own availability
// zone first while they are not loaded. Draining, gone and ejected members are
// left out; of several that remain, those tried before too.
route choose(state& routing,
             std::span<membership::member_record const> members,
             route_query const& asked,
             random_source& random);

// Takes in the load and level of the node that routes, as it is a member too.
void note_own_report(state& routing,
                     std::string_view address,
                     std::string_view rank,
                     hop_report const& report,
                     random_source& random,
                     instant now);

void note_sent(state& routing, std::string_view address);

// An answer or a refusal of the node was read.
void note_report(state& routing,
                 std::string_view address,
                 std::string_view rank,
                 hop_report const& report,
                 random_source& random,
                 instant now);

// A sending ended without an answer. `members` is the number of members of the
// service, which bounds how many of them may be ejected.
void note_failure(state& routing,
                  std::string_view address,
                  std::span<membership::member_record const> members,
                  random_source& random,
                  instant now);

// A sending was given up by this node itself and tells nothing of the peer.
void note_cancelled(state& routing, std::string_view address);

// True if the peer is left out because of failures.
bool is_ejected(state const& routing, std::string_view address, instant now);

// The lowest level of the members for the rank: zero if any member that takes
// work admits it or has not told.
std::uint32_t
lowest_admission_level(state const& routing,
                       std::span<membership::member_record const> members,
                       std::string_view rank,
                       instant now);

// Drops the views of nodes that are no member of anything any more.
void forget_absent(state& routing, std::span<std::string const> known);

} // namespace plantaintally::routing
