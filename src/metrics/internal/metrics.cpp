#include "metrics/metrics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <vector>

namespace plantaintally::metrics
{

namespace
{

prometheus::MetricType type_of(node::statistic_kind kind)
{
    switch (kind)
    {
    case node::statistic_kind::counter:
        return prometheus::MetricType::Counter;
    case node::statistic_kind::gauge:
        return prometheus::MetricType::Gauge;
    case node::statistic_kind::histogram:
        return prometheus::MetricType::Histogram;
    }
    return prometheus::MetricType::Untyped;
}

prometheus::ClientMetric::Histogram to_histogram(node::statistic const& figure)
{
    prometheus::ClientMetric::Histogram histogram;
    histogram.sample_sum = figure.value;
    for (auto const& bucket : figure.buckets)
    {
        histogram.bucket.push_back(
            {bucket.cumulative_count, bucket.upper_bound});
        histogram.sample_count = bucket.cumulative_count;
    }
    return histogram;
}

prometheus::ClientMetric to_metric(node::statistic const& figure)
{
    prometheus::ClientMetric metric;
    for (auto const& [name, value] : figure.labels)
    {
        metric.label.push_back({name, value});
    }
    switch (figure.kind)
    {
    case node::statistic_kind::counter:
        metric.counter.value = figure.value;
        break;
    case node::statistic_kind::gauge:
        metric.gauge.value = figure.value;
        break;
    case node::statistic_kind::histogram:
        metric.histogram = to_histogram(figure);
        break;
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
        family.type = type_of(figure.kind);
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
