// The platform's key-value service in memory, for tests.
#pragma once

#include "messages/store_types.hpp"

#include <map>
#include <string>

namespace plantaintally::node
{

class fake_store
{
public:
    // Writes a value whatever the key's revision is.
    void put(std::string const& key, std::string value);

    // The result of a call that reaches the service. A watch of an unchanged
    // key answers at once with store_unchanged.
    store_result call(store_request const& request);

private:
    std::map<std::string, store_entry> entries;
    std::uint64_t revision = 0;
    std::uint64_t last_lease = 0;
};

} // namespace plantaintally::node
