// Answers to queries about work: grouping, filtering and summing of counts.
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

// The number in a cell; zero if there is none.
std::uint64_t count_of(std::string_view cell);

// True if the node meets every condition on service, upstream and zone.
bool is_member_selected(std::span<filter const> filters,
                        local_view const& view);

// This node's counts, one row a group, ordered by group.
answer_table
work_answer(show_work const& asked, local_view const& view, moment const& now);

// Sums the counts of equal groups.
void merge_work(show_work const& asked,
                answer_table& into,
                answer_table const& part);

} // namespace plantaintally::query
