// The drivers' own figures.
#pragma once

#include "node/statistics.hpp"

#include <compare>
#include <map>
#include <string_view>
#include <vector>

namespace plantaintally::drivers
{

// Names a figure with up to two labels. Every text must live as long as the
// process: literals, or names of enumeration values.
struct figure_name
{
    std::string_view name;
    std::string_view label = {};
    std::string_view value = {};
    std::string_view second_label = {};
    std::string_view second_value = {};

    auto operator<=>(figure_name const&) const = default;
};

class counters
{
public:
    void add(figure_name const& name, double amount = 1);
    void set(figure_name const& name, double value);
    // For figures that go up and down by steps.
    void step(figure_name const& name, double amount);

    [[nodiscard]] double value_of(figure_name const& name) const;
    [[nodiscard]] std::vector<node::statistic> collect() const;

private:
    std::map<figure_name, double> totals;
    std::map<figure_name, double> gauges;
};

// Processor time and resident memory of this process.
std::vector<node::statistic> collect_process_figures();

} // namespace plantaintally::drivers
