// Answering operators' queries over many nodes: the asked node divides the
// others among a few of them, each of which does the same, and the parts are
// merged on the way back.
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
    // Nodes that one node passes a query on to.
    std::size_t fan_out = 8;
    // Time for a whole answer; nodes that are silent until then are named.
    duration time_limit = std::chrono::seconds(2);
    // Queries answered at the same time; more are refused.
    std::size_t pending_limit = 64;
};

// Nodes that one child was asked to answer for, itself first.
struct query_group
{
    std::vector<std::string> targets;
};

// A query whose parts are being collected at this node.
struct pending_query
{
    statement asked;
    std::string text;
    // Set at the node that the operator asked.
    std::optional<command_id> command;
    // Set at the other nodes: who asked, and the number to answer with.
    std::string parent_address;
    std::uint64_t parent_query = 0;
    answer_table table;
    std::uint32_t answered_nodes = 0;
    std::vector<std::string> silent_nodes;
    // Outstanding groups by the number that their answer carries.
    std::map<std::uint64_t, query_group> groups;
    instant retry_at{};
    instant deadline{};
    bool is_retried = false;
};

// State of the queries at this node; owned by the node's state.
struct state
{
    options own;
    std::uint64_t last_query = 0;
    std::map<std::uint64_t, pending_query> pending;
};

// Answers an operator's query, now or in a later step. Changes are not for
// this function; they are answered as invalid.
void start_query(state& query,
                 command_id command,
                 statement const& asked,
                 std::string const& text,
                 local_view const& view,
                 step& current);

void handle_message(state& query,
                    node_id const& sender,
                    message const& received,
                    local_view const& view,
                    step& current);
void handle_time(state& query, step& current);
std::optional<instant> next_deadline(state const& query);

} // namespace plantaintally::query
