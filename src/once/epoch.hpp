// Epochs of a cell: which member is the home of which keys, and who vouches.
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

// Members of a cell at most.
inline constexpr std::size_t cell_size = 16;

// Vouchers of an epoch, if the fleet has as many nodes.
inline constexpr std::size_t voucher_count = 9;

// One epoch of a cell, as agreed in the platform's store.
struct epoch
{
    std::uint64_t number = 0;
    // Homes, in order of address; at most one incarnation of an address.
    std::vector<node_id> members;
    std::vector<node_id> vouchers;

    bool operator==(epoch const&) const = default;
};

// The value of the cell's key in the store: every epoch that is not retired,
// in order of number; the last one is the newest.
struct epoch_document
{
    std::vector<epoch> epochs;

    bool operator==(epoch_document const&) const = default;
};

// Name of the cell that a key of the service belongs to.
std::string
cell_of(std::string_view service, std::string_view key, std::uint32_t cells);

// The home of the key: the member with the highest rendezvous weight. Null if
// the epoch has no members.
node_id const* home_of(epoch const& within, std::string_view key);

// Vouchers that make a majority of this epoch's.
std::size_t majority_of(epoch const& within);

// The time at which a time-ordered key (UUIDv7, RFC 9562) was minted, by the
// minter's clock; none for other keys.
std::optional<wall_time> minted_at(std::string_view key);

// What a node has seen of one epoch.
struct epoch_progress
{
    epoch content;
    // Addresses of vouchers that will not vouch for this epoch any more.
    std::set<std::string> moved;
    // When a majority of them was known to have moved.
    std::optional<instant> moved_at;
    // When no home can accept keys in this epoch any more.
    std::optional<moment> fenced_at;
    // When every earlier epoch was known to be fenced.
    std::optional<moment> opened_at;
    // Vouches for this epoch: when they were asked for, by voucher address.
    std::map<std::string, instant> vouches;
};

// What a node knows of a cell that it is a member of, or was.
struct cell_state
{
    std::string name;
    // Revision of the newest document seen; zero if there is none.
    std::uint64_t revision = 0;
    // That document as stored.
    std::string document;
    // Epochs without gaps, in order of number; the last one is the newest.
    std::vector<epoch_progress> epochs;
    // The highest epoch number that any message told.
    std::uint64_t heard_epoch = 0;
    std::optional<instant> vouch_round_at;
    // When to look for a newer document, and how often that was in vain.
    std::optional<instant> fetch_at;
    std::uint32_t fetches = 0;
    // The members and vouchers that the cell should have now.
    std::vector<node_id> wanted_members;
    std::vector<node_id> wanted_vouchers;
    // When this node proposes them, if nobody else did.
    std::optional<instant> propose_at;
    // No epoch is proposed before this time, to bound the writes.
    instant propose_not_before{};
    // The call on the store that is under way; zero if there is none.
    store_call_id call;
    std::uint32_t store_failures = 0;
    // The document of the write under way; empty if the call is a read.
    std::string proposed;
};

} // namespace plantaintally::once
