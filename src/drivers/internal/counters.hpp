// Metrics of the drivers.
#pragma once

#include "node/statistics.hpp"

#include <compare>
#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantaintally::drivers
{

// Identifies a metric by its name and up to two labels. The strings must
// outlive the process: literals or names of enumerators.
struct metric_name
{
    std::string_view name;
    std::string_view label = {};
    std::string_view value = {};
    std::string_view second_label = {};
    std::string_view second_value = {};

    auto operator<=>(metric_name const&) const = default;
};

struct metric_name_hash
{
    std::size_t operator()(metric_name const& name) const noexcept;
};

class counters
{
public:
    void add(metric_name const& name, double amount = 1);
    void set(metric_name const& name, double value);
    // Changes a gauge by the given amount.
    void adjust(metric_name const& name, double amount);

    [[nodiscard]] double value_of(metric_name const& name) const;
    // Returns all metrics in the order of their names and labels.
    [[nodiscard]] std::vector<node::statistic> collect() const;

private:
    using values = std::unordered_map<metric_name, double, metric_name_hash>;

    values totals;
    values gauges;
};

// Returns the CPU time and the resident memory of this process.
std::vector<node::statistic> collect_process_metrics();

} // namespace plantaintally::drivers
