// In-memory implementation of the platform's key-value service, for tests.
#pragma once

#include "messages/store_types.hpp"

#include <map>
#include <string>

namespace plantaintally::node
{

class fake_store
{
public:
    // Writes a value regardless of the key's revision.
    void put(std::string const& key, std::string value);

    // Returns to an older copy: all later writes are lost, and their revisions
    // are given out again. The era rises.
    void restore(fake_store const& older);

    // Returns the result of a call to the service. A watch of an unchanged key
    // returns store_unchanged immediately.
    store_result call(store_request const& request);

    std::uint64_t era = 1;

private:
    std::map<std::string, store_entry> entries;
    std::uint64_t revision = 0;
    std::uint64_t last_lease = 0;
};

} // namespace plantaintally::node
