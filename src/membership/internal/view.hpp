// The member records that a node holds, and merging of received ones.
#pragma once

#include "membership/state.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::membership
{

// Number of buckets that services are hashed into; a comparison of views starts
// with one hash for each bucket.
inline constexpr std::size_t bucket_count = 32;

// Interval between questions to members that are suspected or gone though they
// may be alive.
inline constexpr duration doubt_interval = std::chrono::seconds(1);

// True if `left` supersedes `right`. Both must have the same address.
bool is_newer(member_record const& left, member_record const& right);

// The record held for an address, of a live or a gone member; nullptr if there
// is none.
member_record const* find_record(state const& membership,
                                 std::string_view address);

// Stores the record if it is newer than the one held; returns true if it was.
bool merge_record(state& membership, member_record const& record, instant now);

// Hash of the live records of a service, equal for equal records; zero if there
// are none.
std::uint64_t hash_service(state& membership, std::string_view service);

// The bucket that a service belongs to.
std::size_t bucket_of(std::string_view service);

// One hash for each bucket, over the hashes of its services.
std::vector<std::uint64_t> hash_buckets(state& membership);

// The live records of a service, and the tombstones of its former members.
std::vector<member_record> records_of(state const& membership,
                                      std::string_view service);

// Drops the tombstones that have expired.
void expire_tombstones(state& membership, instant now);

// Short hash of an address, as listed in the digests of heartbeats.
std::uint32_t short_hash(std::string_view address);

} // namespace plantaintally::membership
