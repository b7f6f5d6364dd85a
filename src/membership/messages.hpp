// Control messages of the membership protocol.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plantaintally::membership
{

// The status of a member as known to the fleet. A record with a higher
// incarnation supersedes one with a lower. If they are equal, the higher
// status_version wins; if these are equal too, the status listed later here.
enum class member_status
{
    alive,
    draining,
    suspected,
    gone
};

struct member_record
{
    node_id node;
    std::string service;
    std::string availability_zone;
    member_status status = member_status::alive;
    std::uint32_t status_version = 0;
    std::uint32_t slots = 0;

    bool operator==(member_record const&) const = default;
};

// Sent in every heartbeat interval to members of the sender's cell and to its
// outside watchers.
struct heartbeat
{
    // Digest: the short hashes (see short_hash) of the addresses of watched
    // nodes that the sender has received a message from in the last interval.
    std::vector<std::uint32_t> heard;
    std::vector<member_record> news;
    // Stable hash of the records of the sender's own service.
    std::uint64_t view_hash = 0;
    // The configuration revision in force at the sender.
    std::uint64_t configuration_revision = 0;
    // The version of the route table in force at the sender.
    std::uint64_t routes_version = 0;
    // True if the receiver is no longer an outside watcher of the sender and
    // must not treat missing heartbeats as a failure.
    bool ends_watch = false;
    // The era of the key-value store as known to the sender; zero if unknown.
    std::uint64_t store_era = 0;

    bool operator==(heartbeat const&) const = default;
};

// Member records: changes to spread, or the answer to a view_digest.
struct gossip
{
    std::vector<member_record> news;
    // True if the records repair a difference between views; the receiver does
    // not spread them further.
    bool is_repair = false;

    bool operator==(gossip const&) const = default;
};

// Anti-entropy message. A comparison takes several steps, so that it costs
// little while the views agree:
// - buckets only: the receiver replies, with `is_reply` set, with its own
//   buckets and the services of those buckets whose hashes differ;
// - buckets with `is_reply`: the receiver requests the records of services
//   whose hashes differ and sends those of services that the sender lacks;
// - services only: the receiver sends its records of services whose hashes
//   differ, and replies with its own hashes of them and `is_reply` set (a hash
//   of zero means that it knows no member);
// - services with `is_reply`: the receiver sends its records of the services
//   whose hashes still differ.
struct view_digest
{
    // One hash for each bucket of services, see bucket_of.
    std::vector<std::uint64_t> bucket_hashes;
    std::vector<std::string> services;
    std::vector<std::uint64_t> hashes;
    bool is_reply = false;

    bool operator==(view_digest const&) const = default;
};

// States that the key-value store has come back from an older copy of its data,
// so that nodes that seldom call it learn of this at once.
struct store_era_notice
{
    std::uint64_t era = 0;

    bool operator==(store_era_notice const&) const = default;
};

using message = std::variant<heartbeat, gossip, view_digest, store_era_notice>;

} // namespace plantaintally::membership
