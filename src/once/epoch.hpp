// Epochs of a cell: its members, among which the keys are distributed, and its
// vouchers.
//
// The keys of a service are divided into cells. The home of a key is the member
// of the key's cell that decides whether a request with that key is executed. A
// cell's members and vouchers change only with a new epoch, which is agreed on
// by a compare-and-set in the platform's key-value store.
//
// A vouch is a lease that a voucher grants to a home: until it expires, the
// home may count on the voucher for that epoch. A home accepts new keys in an
// epoch only while a majority of the epoch's vouchers vouches for it. A voucher
// that has heard of a newer epoch has advanced: it never vouches for a lower
// one again. An epoch is fenced once no home can accept keys in it any more,
// and open once every earlier epoch is fenced.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::once
{

// Maximum number of members of a cell.
inline constexpr std::size_t max_cell_members = 16;

// Number of vouchers of an epoch; lower only if the fleet has fewer nodes.
inline constexpr std::size_t voucher_count = 9;

// One epoch of a cell, as agreed on in the store.
struct epoch
{
    std::uint64_t number = 0;
    // The possible homes, ordered by address; at most one incarnation of each.
    std::vector<node_id> members;
    std::vector<node_id> vouchers;

    bool operator==(epoch const&) const = default;
};

// The value of the cell's key in the store: all epochs that are not retired,
// ordered by number.
struct epoch_document
{
    std::vector<epoch> epochs;

    bool operator==(epoch_document const&) const = default;
};

// The name of the cell to which a key of the service belongs. `cells` is the
// number of cells of the service.
std::string
cell_of(std::string_view service, std::string_view key, std::uint32_t cells);

// The home of the key: the member with the highest rendezvous weight, or
// nullptr if the epoch has no members.
node_id const* home_of(epoch const& within, std::string_view key);

// The number of vouchers that form a majority in this epoch.
std::size_t majority_of(epoch const& within);

// The creation time in a time-ordered key (UUIDv7, RFC 9562), by the clock of
// the key's creator; none for other keys.
std::optional<wall_time> creation_time(std::string_view key);

// What a node knows of one epoch.
struct epoch_progress
{
    epoch content;
    // Addresses of vouchers that will not vouch for this epoch any more,
    // because they have advanced to a newer one or have restarted.
    std::set<std::string> advanced_vouchers;
    // When this node learned that a majority of the vouchers has advanced.
    std::optional<instant> majority_advanced_at;
    // When this node determined that the epoch is fenced.
    std::optional<moment> fenced_at;
    // When this node determined that every earlier epoch is fenced.
    std::optional<moment> opened_at;
    // Vouches held for this epoch: the request time by voucher address.
    std::map<std::string, instant> vouches;
};

// State of a cell that this node is or was a member of.
struct cell_state
{
    std::string name;
    // Revision of the newest document seen; zero if there is none.
    std::uint64_t revision = 0;
    // That document as stored, in JSON.
    std::string document;
    // Consecutive epochs, ordered by number; the last one is the newest.
    std::vector<epoch_progress> epochs;
    // The highest epoch number received in any message.
    std::uint64_t highest_seen_epoch = 0;
    // When to ask the vouchers again.
    std::optional<instant> vouch_round_at;
    // When to look for a newer document, and how often peers have been asked
    // for it without success.
    std::optional<instant> fetch_at;
    std::uint32_t peer_fetch_count = 0;
    // The members and vouchers that the cell should have by the current
    // membership.
    std::vector<node_id> desired_members;
    std::vector<node_id> desired_vouchers;
    // When this node proposes them, unless another node has done so before.
    std::optional<instant> propose_at;
    // This node proposes no epoch before this time, which limits the rate of
    // writes to the store.
    instant propose_not_before{};
    // The pending call to the store; zero if there is none.
    store_call_id store_call;
    // Failed calls in succession.
    std::uint32_t store_failures = 0;
    // The document of the pending write; empty if the call is a read.
    std::string proposed_document;
};

} // namespace plantaintally::once
