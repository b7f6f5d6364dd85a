// Counts the side effects of requests by key, to detect duplicate executions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <unordered_map>

namespace plantaintally::standin
{

// Memory grows with the number of requests of the run.
class effect_ledger
{
public:
    // Also appends each effect to this file as a line "key request-id", so
    // that the record survives a killed process. An empty path writes no file.
    // Throws std::runtime_error if the file can't be opened.
    explicit effect_ledger(std::string const& log_path = {});

    // Records one effect. A request without a key is counted under its id.
    void record(std::string_view key, std::string_view request_id);

    std::uint64_t effects() const
    {
        return this->effect_count;
    }

    // Effects beyond the first of each key.
    std::uint64_t duplicates() const
    {
        return this->effect_count - this->effects_by_key.size();
    }

    // Returns the number of effects recorded under a key.
    std::size_t count(std::string const& key) const;

private:
    std::unordered_map<std::string, std::uint32_t> effects_by_key;
    std::uint64_t effect_count = 0;
    std::ofstream log;
};

} // namespace plantaintally::standin
