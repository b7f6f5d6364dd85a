// Which nodes there are, which upstream each has, and whether it takes work.
#pragma once

#include "membership/messages.hpp"
#include "messages/request_types.hpp"
#include "messages/step.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::membership
{

// What a node knows of itself from its settings.
struct options
{
    node_id self;
    std::string availability_zone;
    // Peer addresses to contact first; may be empty, then contacts come from
    // the platform's service.
    std::vector<std::string> contacts;
    duration heartbeat_interval = std::chrono::milliseconds(500);
};

// State of membership at this node; owned by the node's state.
struct state
{
    options own;
    // Records by service, in order of address; nodes that are gone are kept
    // for a while so that old news doesn't revive them.
    std::map<std::string, std::vector<member_record>, std::less<>> services;
};

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

// The members of a service that are not gone, in order of address.
std::span<member_record const> members_of(state const& membership,
                                          std::string_view service);
// Addresses of up to `count` random live nodes other than this one.
std::vector<std::string>
draw_peers(state const& membership, std::size_t count, step& current);
// Every live node known, this one included, in order of address.
std::vector<member_record> all_members(state const& membership);

} // namespace plantaintally::membership
