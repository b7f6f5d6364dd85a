#include "metrics/metrics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <vector>

namespace plantaintally::metrics
{

namespace
{

bool is_counter(node::statistic const& figure)
{
    return figure.kind == node::statistic_kind::counter;
}

prometheus::ClientMetric to_metric(node::statistic const& figure)
{
    prometheus::ClientMetric metric;
    for (auto const& [name, value] : figure.labels)
    {
        metric.label.push_back({name, value});
    }
    if (is_counter(figure))
    {
        metric.counter.value = figure.value;
    }
    else
    {
        metric.gauge.value = figure.value;
    }
    return metric;
}

} // namespace

std::string write_metrics(std::span<node::statistic const> figures)
{
    std::map<std::string, prometheus::MetricFamily> families;
    for (auto const& figure : figures)
    {
        auto& family = families[figure.name];
        family.name = "plantaintally_" + figure.name;
        family.type = is_counter(figure) ? prometheus::MetricType::Counter
                                         : prometheus::MetricType::Gauge;
        family.metric.push_back(to_metric(figure));
    }
    std::vector<prometheus::MetricFamily> ordered;
    ordered.reserve(families.size());
    for (auto& [name, family] : families)
    {
        ordered.push_back(std::move(family));
    }
    return prometheus::TextSerializer().Serialize(ordered);
}

} // namespace plantaintally::metrics
