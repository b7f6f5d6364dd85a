// Identifiers of the objects that a node keeps in its containers.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace plantaintally
{

// A number that identifies an object of one kind; the tag keeps ids of
// different kinds from being mixed up. Zero identifies nothing.
template <class Tag>
struct numeric_id
{
    std::uint64_t value = 0;

    auto operator<=>(numeric_id const&) const = default;
};

// One request that arrived at this node, from arrival until it is answered.
using exchange_id = numeric_id<struct exchange_tag>;

// One sending of a request from this node to a peer or to its upstream.
using attempt_id = numeric_id<struct attempt_tag>;

// One call on the platform's key-value service.
using store_call_id = numeric_id<struct store_call_tag>;

// One operator command being answered by this node.
using command_id = numeric_id<struct command_tag>;

// One report of the upstream that waits for its answer.
using report_id = numeric_id<struct report_tag>;

// A node of the fleet: the host:port of its peer listener, and the incarnation
// of the process there. A restarted process has a higher incarnation and is a
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
