// Cluster membership: the known nodes, the upstream beside each of them and
// whether it accepts requests.
//
// A node keeps one record of every member. The members of a service are
// partitioned into cells, whose nodes exchange heartbeats. Changed records are
// disseminated by gossip; anti-entropy, which compares digests, repairs what
// gossip misses. See docs/MEMBERSHIP.md.
#pragma once

#include "membership/messages.hpp"
#include "membership/state.hpp"
#include "messages/request_types.hpp"
#include "messages/step.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::membership
{

void start(state& membership, step& current);
// Adds this node as a member of its upstream's service, once that upstream is
// ready. Later announcements update the member record.
void announce(state& membership,
              upstream_announcement const& announcement,
              step& current);
// Marks this node as draining, so that it gets no new work, and informs peers
// at once.
void announce_draining(state& membership, step& current);
// Marks this node as alive again after a drain.
void announce_undrained(state& membership, step& current);
// Announces that this node is leaving for good; peers record it as gone.
void announce_leaving(state& membership, step& current);
// Marks the member at `address` as draining, as hinted by one of its responses.
// The member refutes the record if the hint was outdated.
void note_draining(state& membership, std::string_view address, step& current);
// Sets the revision of the configuration in force, which heartbeats advertise.
// Revisions of peers arrive in heartbeat::configuration_revision and must be
// passed to configuration::note_peer_revision.
void set_configuration_revision(state& membership, std::uint64_t revision);
// Sets the version of the route table in force, which heartbeats advertise as
// heartbeat::routes_version.
void set_routes_version(state& membership, std::uint64_t version);

// Handles the era that an answer of the key-value store states; zero is
// ignored. A higher era than the one known means that the store has lost its
// latest writes: peers are notified and the contact lists are checked.
void note_store_era(state& membership, std::uint64_t era, step& current);
// Handles the reply of the key-value store to a call of any part of this node:
// once the store answers again, a node that could not join the fleet meanwhile
// reads the contact lists soon.
void note_store_reply(state& membership,
                      store_call_id call,
                      store_result const& result,
                      step& current);
// The highest known era of the key-value store; zero if unknown.
std::uint64_t store_era(state const& membership);

void handle_message(state& membership,
                    node_id const& sender,
                    message const& received,
                    step& current);
void handle_store(state& membership,
                  store_call_id call,
                  store_result const& result,
                  step& current);
void handle_time(state& membership, step& current);
std::optional<instant> next_wakeup(state const& membership);

// The members of a service that are not gone, ordered by address. Suspected
// members may have failed already: prefer others.
std::span<member_record const> members_of(state const& membership,
                                          std::string_view service);

// The outcome of looking up the members of a service.
enum class lookup_status
{
    // members_of returns at least one member.
    known,
    // Peers have been queried and may still answer; try again soon.
    pending,
    // No peer that answered in time knows a member, or too many services are
    // being looked up.
    absent
};

// Returns whether members of the service are known; queries peers if they are
// not. Members learned later increase view_version.
lookup_status
look_up_service(state& membership, std::string_view service, step& current);

// The record of the live member at this address, or nullptr.
member_record const* find_member(state const& membership,
                                 std::string_view address);
// The number of changes to the view so far: equal numbers mean an unchanged
// view.
std::uint64_t view_version(state const& membership);
// The number of known live members, this node included.
std::size_t member_count(state const& membership);
// Addresses of up to `count` random live nodes other than this one, or of
// random configured contacts while no other node is known.
std::vector<std::string>
draw_peers(state const& membership, std::size_t count, step& current);
// All known live members, this node included, ordered by address. Copies each
// record, so don't call it for every request.
std::vector<member_record> all_members(state const& membership);

} // namespace plantaintally::membership
