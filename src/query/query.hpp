// Answers operators' queries over many nodes. The queried node divides the
// other nodes into groups and forwards the query to one node of each group,
// which does the same with the rest of its group. Answers are merged on the way
// back.
#pragma once

#include "base/result.hpp"
#include "messages/step.hpp"
#include "query/local_view.hpp"
#include "query/messages.hpp"
#include "query/statement.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantaintally::query
{

struct options
{
    // Maximum number of nodes to which a node forwards a query in one round.
    std::size_t fan_out = 8;
    // Time within which an operator's query is answered. The answer names the
    // nodes that have not answered by then.
    duration time_limit = std::chrono::seconds(2);
    // Maximum number of pending queries at a node. Further queries of operators
    // are refused; those forwarded by nodes are ignored.
    std::size_t pending_limit = 64;
};

// The nodes that one child answers for; the first is the child itself.
struct query_group
{
    std::vector<std::string> targets;
};

// A query whose answers this node is still collecting and merging.
struct pending_query
{
    // The statement in `text`.
    statement parsed;
    std::string text;
    // Set at the node that received the query from the operator.
    std::optional<command_id> command;
    // Set at the other nodes: the node that forwarded the query, and the number
    // that the answer repeats.
    std::string parent_address;
    std::uint64_t parent_query = 0;
    answer_table table;
    std::uint32_t answered_nodes = 0;
    std::vector<std::string> silent_nodes;
    // Groups that have not answered yet, by the number of their partial_query.
    std::map<std::uint64_t, query_group> groups;
    // Time at which children that have not answered are given up and the rest
    // of their groups is queried through other nodes.
    instant retry_at{};
    instant deadline{};
    bool is_retried = false;
};

// The pending queries of a node; part of the node's state.
struct state
{
    options startup_options;
    std::uint64_t last_query = 0;
    std::map<std::uint64_t, pending_query> pending;
};

// Answers an operator's query, in this step or a later one. A change is
// answered as invalid.
void start_query(state& queries,
                 command_id command,
                 statement const& parsed,
                 std::string const& text,
                 local_view const& view,
                 step& current);

void handle_message(state& queries,
                    node_id const& sender,
                    message const& received,
                    local_view const& view,
                    step& current);
void handle_time(state& queries, step& current);
std::optional<instant> next_wakeup(state const& queries);

} // namespace plantaintally::query
