// The records that a node holds, and their merging.
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

// Groups of services that are compared by one hash.
inline constexpr std::size_t bucket_count = 32;

// True if `left` supersedes `right`, both of the same address.
bool is_newer(member_record const& left, member_record const& right);

// The record held for an address, live or gone; nullptr if there is none.
member_record const* find_record(state const& membership,
                                 std::string_view address);

// Takes the record in if it is newer than what is held; true if it was.
bool merge_record(state& membership, member_record const& record, instant now);

// Hash of the records of a service, equal for equal records; zero if it has no
// live member.
std::uint64_t hash_service(state& membership, std::string_view service);

// The bucket that a service belongs to.
std::size_t bucket_of(std::string_view service);

// The hash of each bucket over the hashes of its services.
std::vector<std::uint64_t> hash_buckets(state& membership);

// The live records of a service, and the tombstones of its former members.
std::vector<member_record> records_of(state const& membership,
                                      std::string_view service);

// Drops the tombstones that are past their time.
void forget_tombstones(state& membership, instant now);

// Short hash of an address as listed in digests.
std::uint32_t short_hash(std::string_view address);

} // namespace plantaintally::membership
