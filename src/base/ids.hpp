// Identifiers of nodes and of the objects that a node keeps track of.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace plantaintally
{

// A number that identifies an object. The tag makes ids of different kinds of
// object distinct types. Zero is not a valid id.
template <class Tag>
struct numeric_id
{
    std::uint64_t value = 0;

    auto operator<=>(numeric_id const&) const = default;
};

// A request at this node, from its arrival until it is answered.
using exchange_id = numeric_id<struct exchange_tag>;

// An attempt to send a request from this node to a peer or to its upstream.
using attempt_id = numeric_id<struct attempt_tag>;

// A call to the platform's key-value store.
using store_call_id = numeric_id<struct store_call_tag>;

// An operator's command that this node is to answer.
using command_id = numeric_id<struct command_tag>;

// A report of the upstream that waits for its answer.
using report_id = numeric_id<struct report_tag>;

// A check of the upstream's health endpoint.
using upstream_check_id = numeric_id<struct upstream_check_tag>;

// A node of the fleet: the host:port of its peer listener and the incarnation
// of its process. A restarted process has a higher incarnation and is a
// different member.
struct node_id
{
    std::string address;
    std::uint64_t incarnation = 0;

    auto operator<=>(node_id const&) const = default;
};

} // namespace plantaintally

template <class Tag>
struct std::hash<plantaintally::numeric_id<Tag>>
{
    std::size_t operator()(plantaintally::numeric_id<Tag> id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};
