// A node's own part of the answer to a query, and the merging of parts.
#pragma once

#include "messages/request_types.hpp"
#include "query/local_view.hpp"
#include "query/statement.hpp"

namespace plantaintally::query
{

// Most rows of a time line in one answer; the newest are kept.
inline constexpr std::size_t max_timeline_rows = 5000;

// True if the answer needs every node, false if the asked node's own state is
// the whole answer.
bool is_fleet_wide(statement const& asked);

// This node's part of the answer.
answer_table answer_locally(statement const& asked,
                            local_view const& view,
                            moment const& now);

// Adds the rows of another part: counts of equal groups are summed, other rows
// are put in order, and equal ones kept once.
void merge_answer(statement const& asked,
                  answer_table& into,
                  answer_table const& part);

} // namespace plantaintally::query
