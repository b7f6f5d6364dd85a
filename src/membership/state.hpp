// The state of membership at a node.
#pragma once

#include "membership/messages.hpp"
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

// What a node knows of itself from its settings, and the times it keeps.
struct options
{
    node_id self;
    std::string availability_zone;
    // Peer addresses to contact first; may be empty, then contacts come from
    // the platform's service.
    std::vector<std::string> contacts;
    duration heartbeat_interval = std::chrono::milliseconds(500);
    // A member of the cell without a sign of life for this many heartbeat
    // intervals is suspected.
    std::uint32_t missed_heartbeats = 4;
    // Members of the cell that one heartbeat goes to, chosen anew each time;
    // digests tell the others.
    std::size_t heartbeat_fanout = 8;
    // A suspect that has not answered for this long is gone.
    duration suspicion_timeout = std::chrono::milliseconds(1500);
    // Interval between two rounds of gossip while there is news.
    duration gossip_interval = std::chrono::milliseconds(200);
    // Interval between two comparisons of views with a random peer.
    duration comparison_interval = std::chrono::seconds(10);
    // Members that are gone are remembered for this long.
    duration tombstone_lifetime = std::chrono::hours(2);
    // False judges loss by own heartbeats alone. For measurements.
    bool uses_digests = true;
};

// A member that is gone, kept so that old news doesn't revive it.
struct tombstone
{
    member_record record;
    instant forget_at{};
};

// What is known of the life of a node that this one watches.
struct watched_peer
{
    std::uint64_t incarnation = 0;
    // The last message from the peer itself.
    std::optional<instant> heard_at;
    // The last evidence of any kind: a message, a digest, or the beginning of
    // the watch.
    instant evidence_at{};
    // Set while the peer is suspected.
    std::optional<instant> suspected_at;
    // True while the peer sends heartbeats without being in this cell.
    bool is_outside = false;
};

// A record that is being passed on.
struct news_item
{
    member_record record;
    std::uint32_t transmissions = 0;
    // Order among equally spread items, different at each node.
    std::uint64_t order = 0;
};

// Lookup by string_view in unordered containers.
struct string_hash
{
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

// What this node has done to learn of a service that it knows no member of.
struct service_question
{
    instant asked_at{};
    std::uint32_t asked_peers = 0;
    std::uint32_t negative_answers = 0;
};

// Records of a service to be asked for at a peer.
struct pending_fetch
{
    std::string service;
    std::string peer_address;
};

// Why a call on the platform's service was made.
enum class store_purpose
{
    read_own_zone,
    read_zone_list,
    read_other_zone,
    write_contacts,
    write_zone_list
};

// A call on the platform's service without a result yet.
struct store_call
{
    store_purpose purpose = store_purpose::read_own_zone;
    std::string key;
};

// Contacts by the platform's service; see internal/contacts.hpp.
struct contact_directory
{
    std::map<store_call_id, store_call> calls;
    instant next_read{};
    duration retry_delay{};
    bool is_listed = false;
};

// State of membership at this node; owned by the node's state.
struct state
{
    options own;
    // Records of live members by service, in order of address.
    std::map<std::string, std::vector<member_record>, std::less<>> services;
    // The service of each live member, by address.
    std::unordered_map<std::string, std::string, string_hash, std::equal_to<>>
        service_by_address;
    std::map<std::string, tombstone, std::less<>> tombstones;
    // Hash of the records of each service, zero if it must be computed anew.
    std::map<std::string, std::uint64_t, std::less<>> service_hashes;
    // This node's own record, from its first announcement on.
    std::optional<member_record> self_record;

    std::vector<std::string> cell;
    std::vector<std::string> outside_watchers;
    bool is_cell_stale = true;
    // The number of members known when the outside watchers were chosen.
    std::size_t watcher_choice_members = 0;
    std::map<std::string, watched_peer, std::less<>> watched;
    // The last message from any node at all.
    std::optional<instant> heard_anyone_at;

    std::map<std::string, news_item, std::less<>> news;
    std::vector<pending_fetch> fetches;
    std::map<std::string, service_question, std::less<>> questions;
    contact_directory contacts;

    bool is_started = false;
    bool is_leaving = false;
    // Counts the changes of the view.
    std::uint64_t view_version = 0;
    // The configuration revision that heartbeats tell.
    std::uint64_t configuration_revision = 0;
    // The version of the route table that heartbeats tell.
    std::uint64_t routes_version = 0;
    // Bytes of gossip that may be sent now; refilled over time.
    double gossip_allowance = 0;
    instant gossip_refilled_at{};

    instant next_heartbeat{};
    instant next_gossip{};
    instant next_comparison{};
    instant next_watcher_choice{};
    instant next_fetch{};
    instant next_reconnect{};
    std::optional<instant> next_service_repair;
};

} // namespace plantaintally::membership
