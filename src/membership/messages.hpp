// Control messages of membership.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plantaintally::membership
{

// What the fleet knows of a member. A higher incarnation supersedes a lower
// one; of the same incarnation the higher status change counter is newer.
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

// Sent to members of the sender's cell at every heartbeat interval.
struct heartbeat
{
    // Digest: the short hashes (see short_hash) of the addresses that the
    // sender itself heard in the last interval.
    std::vector<std::uint32_t> heard;
    std::vector<member_record> news;
    // Stable hash of the records of the sender's own service.
    std::uint64_t view_hash = 0;
    // The configuration revision in force at the sender.
    std::uint64_t configuration_revision = 0;
    // The version of the route table in force at the sender.
    std::uint64_t routes_version = 0;
    // The sender has chosen another outside watcher: don't miss its heartbeats.
    bool ends_watch = false;

    bool operator==(heartbeat const&) const = default;
};

// Records of members: news to pass on, or the answer to a view_digest.
struct gossip
{
    std::vector<member_record> news;
    // True if the records repair a difference and are not passed on as news.
    bool is_repair = false;

    bool operator==(gossip const&) const = default;
};

// Anti-entropy, in steps that each cost little while views agree:
// - buckets only: the receiver answers with its own buckets and the services
//   of those whose hash differs, and `is_reply` set;
// - buckets with `is_reply`: the receiver asks for what differs and sends what
//   the sender lacks;
// - services only: the receiver sends its records of services whose hash
//   differs, and its own hashes with `is_reply` set (zero: knows no member);
// - services with `is_reply`: the receiver sends its records of those whose
//   hash still differs.
struct view_digest
{
    // One hash for each group of services, see bucket_of.
    std::vector<std::uint64_t> bucket_hashes;
    std::vector<std::string> services;
    std::vector<std::uint64_t> hashes;
    bool is_reply = false;

    bool operator==(view_digest const&) const = default;
};

using message = std::variant<heartbeat, gossip, view_digest>;

} // namespace plantaintally::membership
