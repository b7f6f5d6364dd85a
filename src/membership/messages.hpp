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

// Sent to the members of the sender's cell at every heartbeat interval. The
// digest lists the cell members that the sender heard in the last interval.
struct heartbeat
{
    std::uint64_t sequence = 0;
    std::vector<std::string> heard;
    std::vector<member_record> news;
    // Stable hash of everything that the sender knows of the fleet, and of its
    // configuration revision.
    std::uint64_t view_hash = 0;
    std::uint64_t configuration_revision = 0;

    bool operator==(heartbeat const&) const = default;
};

// News of members, passed on to a few peers.
struct gossip
{
    std::vector<member_record> news;

    bool operator==(gossip const&) const = default;
};

// Anti-entropy: asks for the records of services whose hash differs.
struct view_digest
{
    std::vector<std::string> services;
    std::vector<std::uint64_t> hashes;
    bool is_reply = false;

    bool operator==(view_digest const&) const = default;
};

using message = std::variant<heartbeat, gossip, view_digest>;

} // namespace plantaintally::membership
