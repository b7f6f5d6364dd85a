// The state of the configuration module at a node.
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

// The purpose of a call on the platform's key-value store.
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

// An operator's change that is being written to the store.
struct pending_change
{
    command_id command;
    change requested;
    // The revision that the operator's change is based on. The change must
    // commute with all changes accepted since.
    std::uint64_t base_revision = 0;
    // The document being written. Its revision is still that of the document
    // it was made from.
    document proposed;
    // A write may have taken effect, and no read has settled it yet.
    bool is_in_doubt = false;
    bool is_call_in_flight = false;
    // The document has been read from the store for this change, and nothing
    // has failed since.
    bool is_read_fresh = false;
    std::uint32_t failures = 0;
    instant next_attempt{};
    instant timeout_at{};
};

// This node's role as a relay. A relay polls the store for changes that
// gossip has missed. It holds a slot of its availability zone under a lease.
struct relay
{
    std::string lease;
    std::string slot_key;
    std::uint64_t slot_revision = 0;
    bool is_slot_held = false;
    // A call to acquire a slot is in flight.
    bool is_call_in_flight = false;
    instant next_poll{};
    instant next_renewal{};
    instant next_candidacy{};
    duration candidacy_delay{};
};

// State of the configuration module; a member of the node's state.
struct state
{
    node_id self;
    std::string availability_zone;
    document in_force;
    // Interval at which a relay polls the store.
    duration poll_interval = std::chrono::seconds(1);

    bool is_started = false;
    bool is_ready = false;
    // When the store last confirmed that the revision in force is the newest,
    // to this node or to a peer that reported it.
    std::optional<instant> confirmed_at;
    // See revision_digest::confirmed_stamp.
    wall_time confirmed_stamp{};
    instant started_at{};

    std::map<store_call_id, store_purpose> calls;
    std::deque<pending_change> pending;
    relay own_relay;

    // The initial read after start: from the store or, while that is down,
    // from peers.
    bool is_initial_read_in_flight = false;
    bool is_store_down = false;
    instant next_initial_read{};
    duration initial_read_backoff{};
    // Revisions reported by peers, by address; used until this node is ready.
    std::map<std::string, std::uint64_t> peer_revisions;

    // The most recent accepted changes, oldest first.
    std::deque<accepted_change> recent_changes;
    // Remaining gossip rounds for the changes above `gossip_base_revision`.
    std::uint32_t gossip_rounds_left = 0;
    std::uint64_t gossip_base_revision = 0;
    instant next_gossip_round{};
    instant next_digest{};
    // No further catch-up request is sent before this time.
    instant next_catch_up_request{};
};

} // namespace plantaintally::configuration
