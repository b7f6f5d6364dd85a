// The operators' configuration: a single document that is replaced as a whole.
#pragma once

#include "base/moment.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plantaintally::configuration
{

// A priority class of requests.
struct rank_definition
{
    std::string name;
    // Requests of a rank with higher urgency are served first.
    std::uint32_t urgency = 0;
    // Weight of the share of capacity that the rank keeps when a more urgent
    // rank overloads the upstream.
    std::uint32_t worth = 1;
    // The maximum number of times that any one call in the call chain may be
    // executed, the first attempt included.
    std::uint32_t attempt_budget = 3;
    // Applies to a request that does not specify a deadline; relative to its
    // arrival.
    duration deadline = std::chrono::seconds(5);
    // Requests of a protected rank are never shed while those of an
    // unprotected rank are admitted at the same upstream. Meant for bookings,
    // swaps and confirmations.
    bool is_protected = false;

    bool operator==(rank_definition const&) const = default;
};

// Assigns requests to a rank. An empty field matches everything. The most
// specific matching rule wins: one with a service, then the longest path
// prefix, then one with a method. Among equally specific rules the first wins.
struct match_rule
{
    std::string name;
    std::string service;
    std::string method;
    std::string path_prefix;
    std::string rank;

    bool operator==(match_rule const&) const = default;
};

// Records an accepted change. After the answer to a write was lost, the id
// shows whether the change was accepted.
struct change_record
{
    std::string change_id;
    // The revision that the change created. Zero in the newest record of the
    // stored document, because the store assigns the revision on writing.
    std::uint64_t revision = 0;
    // The command as typed; cleared in all but the newest records.
    std::string text;
    // The changed object: "rank:NAME", "rule:NAME" or "node:ADDRESS". Changes
    // of different objects commute.
    std::string object;

    bool operator==(change_record const&) const = default;
};

// The whole configuration at a revision. Revisions only increase; revision
// zero is the built-in default.
struct document
{
    std::uint64_t revision = 0;
    std::vector<rank_definition> ranks;
    std::vector<match_rule> rules;
    // Peer addresses of the nodes whose upstream an operator has drained.
    std::vector<std::string> drained_nodes;
    // The most recent accepted changes, newest last.
    std::vector<change_record> changes;

    bool operator==(document const&) const = default;
};

} // namespace plantaintally::configuration
