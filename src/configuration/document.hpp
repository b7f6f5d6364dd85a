// The operators' configuration: one document, changed as a whole.
#pragma once

#include "base/moment.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plantaintally::configuration
{

// A rank of work.
struct rank_definition
{
    std::string name;
    // The higher, the sooner a request of this rank is served.
    std::uint32_t urgency = 0;
    // Weight of the share that the rank keeps when a more urgent rank floods.
    std::uint32_t worth = 1;
    // The number of times that any one call of the chain may be executed.
    std::uint32_t attempt_budget = 3;
    // Time for a request that states none.
    duration deadline = std::chrono::seconds(5);
    // True for bookings, swaps and confirmations: never shed while a rank
    // without the mark is admitted at the same upstream.
    bool is_protected = false;

    bool operator==(rank_definition const&) const = default;
};

// Assigns requests to a rank. An empty field matches everything. The rule with
// the most specific match wins: service, then the longest path prefix, then
// method; of equals the one that comes first.
struct match_rule
{
    std::string name;
    std::string service;
    std::string method;
    std::string path_prefix;
    std::string rank;

    bool operator==(match_rule const&) const = default;
};

// An accepted change: its id finds out whether a write with a lost answer was
// accepted.
struct change_record
{
    std::string change_id;
    // The revision that the change made; zero in the newest record as stored,
    // since the platform's service gives it with the write.
    std::uint64_t revision = 0;
    // The command as typed; dropped from all but the newest records.
    std::string text;
    // What the change touched: "rank:NAME", "rule:NAME" or "node:ADDRESS".
    // Changes that touch different objects commute.
    std::string object;

    bool operator==(change_record const&) const = default;
};

// The whole configuration at a revision. Revisions only grow; revision zero is
// the built-in default, which no operator has made.
struct document
{
    std::uint64_t revision = 0;
    std::vector<rank_definition> ranks;
    std::vector<match_rule> rules;
    // Peer addresses of nodes whose upstream is drained by an operator.
    std::vector<std::string> drained_nodes;
    // The most recent accepted changes, newest last.
    std::vector<change_record> changes;

    bool operator==(document const&) const = default;
};

} // namespace plantaintally::configuration
