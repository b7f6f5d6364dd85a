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

prometheus::ClientMetric::Histogram to_histogram(node::statistic const& sample)
{
    prometheus::ClientMetric::Histogram histogram;
    histogram.sample_sum = sample.value;
    for (auto const& bucket : sample.buckets)
    {
        histogram.bucket.push_back(
            {bucket.cumulative_count, bucket.upper_bound});
        histogram.sample_count = bucket.cumulative_count;
    }
    return histogram;
}

prometheus::ClientMetric to_metric(node::statistic const& sample)
{
    prometheus::ClientMetric metric;
    for (auto const& [name, value] : sample.labels)
    {
        metric.label.push_back({name, value});
    }
    switch (sample.kind)
    {
    case node::statistic_kind::counter:
        metric.counter.value = sample.value;
        break;
    case node::statistic_kind::gauge:
        metric.gauge.value = sample.value;
        break;
    case node::statistic_kind::histogram:
        metric.histogram = to_histogram(sample);
        break;
    }
    return metric;
}

} // namespace

std::string write_metrics(std::span<node::statistic const> samples)
{
    std::map<std::string, prometheus::MetricFamily> families;
    for (auto const& sample : samples)
    {
        auto& family = families[sample.name];
        family.name = "plantaintally_" + sample.name;
        family.type = type_of(sample.kind);
        family.metric.push_back(to_metric(sample));
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
