// Sample members and configuration documents for a fleet of the planned size.
#pragma once

#include "configuration/document.hpp"
#include "membership/messages.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace plantaintally::measure
{

inline constexpr std::size_t planned_nodes = 13'000;
inline constexpr std::size_t planned_services = 1'100;
inline constexpr std::size_t planned_zones = 13;

// The address of the node with this number.
std::string sample_address(std::size_t number);

// The live member with this number, in a fleet of the planned proportions.
membership::member_record sample_member(std::size_t number);

// A document with this many ranks, rules and recorded changes.
configuration::document
sample_document(std::size_t ranks, std::size_t rules, std::size_t changes);

} // namespace plantaintally::measure
