// Control messages of the route table.
#pragma once

#include "routes/route_table.hpp"

#include <cstdint>
#include <variant>

namespace plantaintally::routes
{

// Asks for the receiver's table if that is newer than the sender's.
struct table_question
{
    std::uint64_t version = 0;

    bool operator==(table_question const&) const = default;
};

// The whole table in force at the sender.
struct table_update
{
    route_table table;

    bool operator==(table_update const&) const = default;
};

using message = std::variant<table_question, table_update>;

} // namespace plantaintally::routes
