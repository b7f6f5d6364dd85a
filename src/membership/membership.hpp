// Which nodes there are, which upstream each has, and whether it takes work.
//
// A node keeps one record of every member. The members of a service form cells
// that exchange heartbeats; what changes is spread by gossip and repaired by
// comparing digests. See docs/MEMBERSHIP.md.
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
// The upstream beside this node is ready: joins its service.
void announce(state& membership,
              upstream_announcement const& announcement,
              step& current);
// This node takes no more new work; spread at once.
void announce_draining(state& membership, step& current);
// This node takes work again after a drain.
void announce_undrained(state& membership, step& current);
// This node leaves for good.
void announce_leaving(state& membership, step& current);
// An answer of this node told that it is draining.
void note_draining(state& membership, std::string_view address, step& current);
// The revision of the configuration in force, to be told by heartbeats. Those
// of others come in heartbeat::configuration_revision; hand them to
// configuration::note_peer_revision.
void set_configuration_revision(state& membership, std::uint64_t revision);
// The same for the route table: heartbeat::routes_version.
void set_routes_version(state& membership, std::uint64_t version);

void handle_message(state& membership,
                    node_id const& sender,
                    message const& received,
                    step& current);
void handle_store(state& membership,
                  store_call_id call,
                  store_result const& result,
                  step& current);
void handle_time(state& membership, step& current);
std::optional<instant> next_deadline(state const& membership);

// The members of a service that are not gone, in order of address. Those with
// status suspected may be gone already: prefer others.
std::span<member_record const> members_of(state const& membership,
                                          std::string_view service);

// What is known of a service's members.
enum class lookup_status
{
    // members_of has at least one.
    known,
    // Peers have been asked and their answers are awaited; ask again soon.
    pending,
    // No peer that answered in time knows a member.
    absent
};

// Tells whether members of the service are known; asks peers if they are not.
// Members learned later raise view_version.
lookup_status
look_up_service(state& membership, std::string_view service, step& current);

// The record of the live member at this address, or nullptr.
member_record const* find_member(state const& membership,
                                 std::string_view address);
// Counts the changes of the view: equal numbers, equal view.
std::uint64_t view_version(state const& membership);
// The number of live members known, this one included.
std::size_t member_count(state const& membership);
// Addresses of up to `count` random live nodes other than this one.
std::vector<std::string>
draw_peers(state const& membership, std::size_t count, step& current);
// Every live node known, this one included, in order of address. Copies each
// record: not for use on every request.
std::vector<member_record> all_members(state const& membership);

} // namespace plantaintally::membership
