// The stored form of a node's departures: a line a life, oldest first.
#pragma once

#include "messages/request_types.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::departures
{

// Lives that are remembered; an upstream's report is late by seconds at most,
// and no upstream is replaced so often in that time.
inline constexpr std::size_t max_remembered = 32;

std::string write_record(std::span<upstream_incarnation const> left);

// The lives of the text; lines that can't be read are left out.
std::vector<upstream_incarnation> read_record(std::string_view text);

// Adds a life, or keeps the later birth of the same name.
void remember(std::vector<upstream_incarnation>& left,
              upstream_incarnation const& life);

// True if this life, or a later one of the same name, has left.
bool has_left(std::span<upstream_incarnation const> left,
              upstream_incarnation const& life);

} // namespace plantaintally::departures
