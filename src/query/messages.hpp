// Control messages of operators' queries over many nodes.
#pragma once

#include "messages/request_types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plantaintally::query
{

// Asks the receiver to answer for itself and for the `targets`, which it
// divides among a few of them.
struct partial_query
{
    std::uint64_t query = 0;
    std::string text;
    std::vector<std::string> targets;
    duration time_left{};

    bool operator==(partial_query const&) const = default;
};

// The merged answer of a subtree, with the number of nodes that it covers and
// those that did not answer in time.
struct partial_answer
{
    std::uint64_t query = 0;
    answer_table table;
    std::uint32_t answered_nodes = 0;
    std::vector<std::string> silent_nodes;

    bool operator==(partial_answer const&) const = default;
};

using message = std::variant<partial_query, partial_answer>;

} // namespace plantaintally::query
