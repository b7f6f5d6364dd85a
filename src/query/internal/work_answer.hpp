// Answers show_work queries: filters, groups and sums request counts.
#pragma once

#include "messages/request_types.hpp"
#include "query/local_view.hpp"
#include "query/statement.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace plantaintally::query
{

// The number at the start of a cell; zero if there is none.
std::uint64_t count_of(std::string_view cell);

// True if this node matches every filter. It matches a filter on rank or caller
// only if the wanted value is empty.
bool is_member_selected(std::span<filter const> filters,
                        local_view const& view);

// This node's counts, one row per group, sorted by group.
answer_table
work_answer(show_work const& query, local_view const& view, moment const& now);

// Adds the rows of `partial` to `merged`, summing the counts of equal groups.
void merge_work(show_work const& query,
                answer_table& merged,
                answer_table const& partial);

} // namespace plantaintally::query
