// Answers a query from one node's state, and merges the answers of several
// nodes.
#pragma once

#include "messages/request_types.hpp"
#include "query/local_view.hpp"
#include "query/statement.hpp"

namespace plantaintally::query
{

// Maximum number of time line rows in a merged answer; the oldest are dropped.
inline constexpr std::size_t max_timeline_rows = 5000;

// True if the answer is merged from all nodes, false if the queried node
// answers from its own state alone.
bool is_fleet_wide(statement const& query);

// Answers the query from this node's state.
answer_table answer_locally(statement const& query,
                            local_view const& view,
                            moment const& now);

// Adds the rows of another node's answer to `merged`. Counts of equal groups or
// revisions are summed; other rows are sorted, without duplicates. Rows that do
// not have one cell per column of `merged` are ignored.
void merge_answer(statement const& query,
                  answer_table& merged,
                  answer_table const& partial);

} // namespace plantaintally::query
