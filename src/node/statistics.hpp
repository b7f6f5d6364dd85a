// Counters, gauges and histograms of a node, for metrics and for operators'
// queries.
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

// A cumulative histogram bucket: the number of observations less than or equal
// to the bound.
struct statistic_bucket
{
    double upper_bound = 0;
    std::uint64_t cumulative_count = 0;
};

// One sample: a Prometheus name without the "plantaintally_" prefix, its labels
// in a fixed order, and the value in the base unit that the name implies.
struct statistic
{
    std::string name;
    statistic_kind kind = statistic_kind::counter;
    std::vector<std::pair<std::string, std::string>> labels;
    // For a histogram, the sum of all observations.
    double value = 0;
    // Only for a histogram; the last bound is infinite.
    std::vector<statistic_bucket> buckets{};
};

// Returns all samples of the node, sorted by name and labels.
std::vector<statistic> collect_statistics(state const& node);

} // namespace plantaintally::node
