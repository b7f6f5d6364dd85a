// Configuration changes that an operator can submit.
#pragma once

#include "base/moment.hpp"
#include "configuration/document.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace plantaintally::configuration
{

// Adds a rank; refused if its name is taken.
struct create_rank
{
    rank_definition rank;
    bool operator==(create_rank const&) const = default;
};

// Changes the fields of a rank that have a value and keeps the others.
struct alter_rank
{
    std::string name;
    std::optional<std::uint32_t> urgency;
    std::optional<std::uint32_t> worth;
    std::optional<std::uint32_t> attempt_budget;
    std::optional<duration> deadline;
    std::optional<bool> is_protected;
    bool operator==(alter_rank const&) const = default;
};

// Removes a rank; refused while a match rule refers to it.
struct remove_rank
{
    std::string name;
    bool operator==(remove_rank const&) const = default;
};

// Adds a match rule; refused if its name is taken or its rank is unknown.
struct create_rule
{
    match_rule rule;
    bool operator==(create_rule const&) const = default;
};

struct remove_rule
{
    std::string name;
    bool operator==(remove_rule const&) const = default;
};

// Takes the upstream beside a node out of service until undrain_node.
// `address` is the node's peer address.
struct drain_node
{
    std::string address;
    bool operator==(drain_node const&) const = default;
};

struct undrain_node
{
    std::string address;
    bool operator==(undrain_node const&) const = default;
};

using change_body = std::variant<create_rank,
                                 alter_rank,
                                 remove_rank,
                                 create_rule,
                                 remove_rule,
                                 drain_node,
                                 undrain_node>;

// A change as sent by the operator's tool. The tool generates the id, so that
// submitting the same change again is recognised as a repeat.
struct change
{
    std::string change_id;
    // The revision that the operator based the change on; if absent, the
    // newest one.
    std::optional<std::uint64_t> expected_revision;
    // The command as the operator typed it.
    std::string text;
    change_body body;

    bool operator==(change const&) const = default;
};

} // namespace plantaintally::configuration
