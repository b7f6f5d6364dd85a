// Membership state of a node.
#pragma once

#include "base/string_hash.hpp"
#include "membership/messages.hpp"
#include "messages/patient_calls.hpp"
#include "messages/step.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantaintally::membership
{

// The identity of this node and the timing and limits of the protocol.
struct options
{
    node_id self;
    std::string availability_zone;
    // Addresses of seed nodes. If there are none, contacts are taken from the
    // platform's key-value store alone.
    std::vector<std::string> contacts;
    duration heartbeat_interval = std::chrono::milliseconds(500);
    // A watched node without a sign of life for this many heartbeat intervals
    // is suspected.
    std::uint32_t missed_heartbeat_limit = 4;
    // The number of cell members that a heartbeat is sent to, drawn at random
    // each time. The others learn from digests that this node is alive.
    std::size_t heartbeat_fanout = 8;
    // A suspected node without a sign of life for this long is declared gone.
    duration suspicion_timeout = std::chrono::milliseconds(1500);
    // Interval between gossip rounds while there are records to spread.
    duration gossip_interval = std::chrono::milliseconds(200);
    // Interval between comparisons of views with a random peer.
    duration anti_entropy_interval = std::chrono::seconds(10);
    // Time for which the tombstone of a gone member is kept.
    duration tombstone_lifetime = std::chrono::hours(2);
    // If false, digests are ignored and only messages received from a peer
    // count as evidence of its liveness. For measurements.
    bool uses_digests = true;
};

// The record of a gone member, kept so that outdated records don't revive it.
struct tombstone
{
    member_record record;
    instant expires_at{};
};

// Evidence of the liveness of a node that this node watches.
struct watched_peer
{
    std::uint64_t incarnation = 0;
    // Time of the last message received from the peer itself.
    std::optional<instant> heard_at;
    // Time of the last evidence of any kind: a message from the peer, a digest
    // that lists it, or the start of the watch.
    instant evidence_at{};
    // Start of the suspicion; empty while the peer is not suspected.
    std::optional<instant> suspected_at;
    // True if the peer is not in this cell and has selected this node as an
    // outside watcher.
    bool is_outside_cell = false;
};

// A changed record that is spread by gossip.
struct news_item
{
    member_record record;
    std::uint32_t transmissions = 0;
    // Orders items that were sent equally often, differently at each node.
    std::uint64_t tie_break = 0;
};

// A query to peers for the members of a service of which none is known.
struct service_lookup
{
    instant asked_at{};
    std::uint32_t asked_peers = 0;
    std::uint32_t negative_answers = 0;
};

// A service whose records are to be requested from a peer.
struct pending_fetch
{
    std::string service;
    std::string peer_address;
};

// The purpose of a call to the platform's key-value store.
enum class store_purpose
{
    read_own_zone,
    read_zone_list,
    read_other_zone,
    write_contacts,
    write_zone_list
};

// A call to the platform's key-value store that has no result yet.
struct store_call
{
    store_purpose purpose = store_purpose::read_own_zone;
    std::string key;
};

// A listed address that this node has contacted.
struct contact_attempt
{
    instant asked_at{};
    bool has_answered = false;
};

// State of the contact lists in the platform's key-value store; see
// internal/contacts.hpp.
struct contact_directory
{
    std::map<store_call_id, store_call> calls;
    patient_calls patience;
    instant next_read{};
    // Delay before the latest retry; zero if the next read is a regular one.
    duration retry_delay{};
    // True from a call that the store did not answer until it answers one.
    bool is_store_unavailable = false;
    // True if this node is on the list of its availability zone, as far as it
    // knows.
    bool is_listed = false;
    // The contacts of the own availability zone and the list of zones, as last
    // read.
    std::vector<std::string> own_zone;
    std::vector<std::string> zones;
    // The most contacts of the own zone that were live at a time since they
    // were read.
    std::size_t most_live = 0;
    // Listed addresses that are still to be contacted, in this order.
    std::vector<std::string> pending;
    instant next_contact{};
    std::map<std::string, contact_attempt, std::less<>> attempts;
    // The earliest time at which a node that knows no other compares views with
    // the sender of a message.
    instant next_sender_contact{};
};

// Membership state of this node; part of the node's state.
struct state
{
    options startup_options;
    // Records of the live members of each service, ordered by address.
    std::map<std::string, std::vector<member_record>, std::less<>> services;
    // The service of each live member, by address.
    std::unordered_map<std::string, std::string, string_hash, std::equal_to<>>
        service_by_address;
    std::map<std::string, tombstone, std::less<>> tombstones;
    // Hash of the records of each service; zero if it must be recomputed.
    std::map<std::string, std::uint64_t, std::less<>> service_hashes;
    // Members that others suspect or have declared gone, though they may be
    // alive, and until when this node asks them.
    std::map<std::string, instant, std::less<>> doubted;
    // This node's own record; empty until its first announcement.
    std::optional<member_record> self_record;

    std::vector<std::string> cell;
    std::vector<std::string> outside_watchers;
    bool is_cell_stale = true;
    // The number of known members when the outside watchers were selected.
    std::size_t members_at_watcher_selection = 0;
    std::map<std::string, watched_peer, std::less<>> watched;
    // Time of the last message received from any node.
    std::optional<instant> last_message_at;

    std::map<std::string, news_item, std::less<>> news;
    std::vector<pending_fetch> fetches;
    std::map<std::string, service_lookup, std::less<>> service_lookups;
    contact_directory contacts;

    bool is_started = false;
    bool is_leaving = false;
    // The number of changes to the view so far.
    std::uint64_t view_version = 0;
    // The configuration revision that heartbeats advertise.
    std::uint64_t configuration_revision = 0;
    // The version of the route table that heartbeats advertise.
    std::uint64_t routes_version = 0;
    // The highest known era of the key-value store; zero if unknown.
    std::uint64_t store_era = 0;
    // Bytes that gossip may send now; refilled at a constant rate.
    double gossip_allowance_bytes = 0;
    instant gossip_refilled_at{};

    instant next_heartbeat{};
    instant next_gossip{};
    instant next_anti_entropy{};
    instant next_watcher_selection{};
    instant next_fetch{};
    instant next_reconnect{};
    instant next_doubt_round{};
    std::optional<instant> next_service_repair;
};

} // namespace plantaintally::membership
