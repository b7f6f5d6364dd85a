// Counts the effects of requests by key, so that duplicates are found.
#pragma once

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <unordered_map>

namespace plantaintally::standin
{

// Bounded by the number of requests of one run.
class effect_ledger
{
public:
    // Each effect is also appended to this file, one "key request" a line, so
    // that the count outlives a killed process. An empty path writes none.
    explicit effect_ledger(std::string const& log_path = {});

    // Notes one effect. Requests without a key are counted by request id.
    void record(std::string_view key, std::string_view request_id);

    std::uint64_t effects() const
    {
        return this->effect_count;
    }

    // Effects beyond the first of each key.
    std::uint64_t duplicates() const
    {
        return this->effect_count - this->by_key.size();
    }

    std::size_t count(std::string const& key) const;

private:
    std::unordered_map<std::string, std::uint32_t> by_key;
    std::uint64_t effect_count = 0;
    std::ofstream log;
};

} // namespace plantaintally::standin
