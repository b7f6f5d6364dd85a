// Counters and gauges of a node, for metrics and for operators' queries.
#pragma once

#include "node/state.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace plantaintally::node
{

enum class statistic_kind
{
    counter,
    gauge,
    histogram
};

// Occurrences up to a bound, those below it included.
struct statistic_bucket
{
    double upper_bound = 0;
    std::uint64_t cumulative_count = 0;
};

// One figure: a Prometheus name without the "plantaintally_" prefix, its
// labels in a fixed order, and the value in the base unit of its name.
struct statistic
{
    std::string name;
    statistic_kind kind = statistic_kind::counter;
    std::vector<std::pair<std::string, std::string>> labels;
    // The sum of all occurrences, of a histogram.
    double value = 0;
    // Of a histogram; the last bound is infinite.
    std::vector<statistic_bucket> buckets{};
};

// Every figure of the node, in order of name and labels.
std::vector<statistic> collect_statistics(state const& node);

} // namespace plantaintally::node
