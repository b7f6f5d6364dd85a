// Control messages of the route table.
#pragma once

#include "routes/route_table.hpp"

#include <cstdint>
#include <variant>

namespace plantaintally::routes
{

// Requests the receiver's table if it is newer than the given version, which is
// the one in force at the sender.
struct table_question
{
    std::uint64_t version = 0;

    bool operator==(table_question const&) const = default;
};

// The complete table in force at the sender.
struct table_update
{
    route_table table;

    bool operator==(table_update const&) const = default;
};

// States the version that has come into force at the sender, so that nodes that
// don't watch the key-value store learn of it at once.
struct table_notice
{
    std::uint64_t version = 0;

    bool operator==(table_notice const&) const = default;
};

using message = std::variant<table_question, table_update, table_notice>;

} // namespace plantaintally::routes
