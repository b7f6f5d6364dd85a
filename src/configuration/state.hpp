// The state of configuration at a node.
#pragma once

#include "configuration/change.hpp"
#include "configuration/document.hpp"
#include "configuration/messages.hpp"
#include "messages/step.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaintally::configuration
{

// Why a call on the platform's service was made.
enum class store_purpose
{
    read_at_start,
    poll_as_relay,
    read_for_change,
    write_change,
    read_relay_slot,
    grant_lease,
    write_relay_slot,
    renew_lease
};

// A change on its way into the platform's service.
struct pending_change
{
    command_id command;
    change requested;
    // The document that the operator's change was made against: changes since
    // then must commute with it.
    std::uint64_t base_revision = 0;
    // The document whose successor is being written.
    document written;
    // A write may have taken effect, and no reading has told yet.
    bool is_in_doubt = false;
    // A call is on its way.
    bool is_call_in_flight = false;
    bool is_read_fresh = false;
    std::uint32_t failures = 0;
    instant next_try{};
    instant give_up_at{};
};

// This node's part as a relay, which polls the platform's service for changes
// that did not reach the nodes otherwise.
struct relay
{
    std::string lease;
    std::string slot_key;
    std::uint64_t slot_revision = 0;
    bool is_held = false;
    bool is_call_in_flight = false;
    instant next_poll{};
    instant next_renewal{};
    instant next_candidacy{};
    duration candidacy_delay{};
};

// State of the configuration at this node; owned by the node's state.
struct state
{
    node_id self;
    std::string availability_zone;
    document in_force;
    // Time between two polls of a relay.
    duration poll_interval = std::chrono::seconds(1);

    bool is_started = false;
    bool is_ready = false;
    // When the platform's service last confirmed the revision in force, to this
    // node or to another one that told it.
    std::optional<instant> confirmed_at;
    wall_time confirmed_stamp{};
    instant started_at{};

    std::map<store_call_id, store_purpose> calls;
    std::deque<pending_change> pending;
    relay own_relay;

    // Reading at the start: from the platform's service, or from peers while
    // that is down.
    bool is_reading = false;
    bool is_store_down = false;
    instant next_read{};
    duration read_delay{};
    // Revisions told by peers, by address, until this node is ready.
    std::map<std::string, std::uint64_t> told_revisions;

    // The last accepted changes, oldest first.
    std::deque<accepted_change> recent;
    // Rounds of gossip that still pass on changes above `spread_after`.
    std::uint32_t spread_rounds = 0;
    std::uint64_t spread_after = 0;
    instant next_spread{};
    instant next_digest{};
    // Until then no further document is asked for.
    instant next_question{};
};

} // namespace plantaintally::configuration
