// Control messages that distribute operators' queries over many nodes.
#pragma once

#include "messages/request_types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plantaintally::query
{

// Requests the merged answer of the receiver and the nodes in `targets`. The
// receiver divides the targets into groups and forwards the query to one node
// of each group.
struct partial_query
{
    // Number chosen by the sender; the answer repeats it.
    std::uint64_t query = 0;
    // The statement as the operator wrote it.
    std::string text;
    std::vector<std::string> targets;
    // Time within which the receiver has to answer.
    duration time_left{};

    bool operator==(partial_query const&) const = default;
};

// The merged answer to a partial_query.
struct partial_answer
{
    // Number of the partial_query.
    std::uint64_t query = 0;
    answer_table table;
    // Number of nodes whose answers are merged.
    std::uint32_t answered_nodes = 0;
    // Addresses of the nodes that did not answer in time.
    std::vector<std::string> silent_nodes;

    bool operator==(partial_answer const&) const = default;
};

using message = std::variant<partial_query, partial_answer>;

} // namespace plantaintally::query
