// Metrics of the drivers.
#pragma once

#include "node/statistics.hpp"

#include <compare>
#include <map>
#include <string_view>
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

class counters
{
public:
    void add(metric_name const& name, double amount = 1);
    void set(metric_name const& name, double value);
    // Changes a gauge by the given amount.
    void adjust(metric_name const& name, double amount);

    [[nodiscard]] double value_of(metric_name const& name) const;
    [[nodiscard]] std::vector<node::statistic> collect() const;

private:
    std::map<metric_name, double> totals;
    std::map<metric_name, double> gauges;
};

// Returns the CPU time and the resident memory of this process.
std::vector<node::statistic> collect_process_metrics();

} // namespace plantaintally::drivers
