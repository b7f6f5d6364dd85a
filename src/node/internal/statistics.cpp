#include "node/statistics.hpp"

#include <algorithm>
#include <limits>

namespace plantaintally::node
{

namespace
{

void add_gauge(std::vector<statistic>& samples, std::string name, double value)
{
    statistic sample;
    sample.name = std::move(name);
    sample.kind = statistic_kind::gauge;
    sample.value = value;
    samples.push_back(std::move(sample));
}

void add_counts(std::vector<statistic>& samples, counts const& total)
{
    for (auto const& [key, value] : total)
    {
        statistic sample;
        sample.name = "requests_" + std::string(to_string(key.kind)) + "_total";
        sample.labels = {{"service", key.service},
                         {"rank", key.rank},
                         {"reason", key.reason}};
        sample.value = static_cast<double>(value);
        samples.push_back(std::move(sample));
    }
}

std::vector<statistic_bucket> to_buckets(latency_histogram const& histogram)
{
    std::vector<statistic_bucket> buckets;
    std::uint64_t cumulative = 0;
    auto const& axis = histogram.counts.axis();
    for (int index = 0; index <= axis.size(); ++index)
    {
        cumulative += static_cast<std::uint64_t>(histogram.counts.at(index));
        double const bound = index < axis.size()
                                 ? axis.bin(index).upper()
                                 : std::numeric_limits<double>::infinity();
        buckets.push_back({bound, cumulative});
    }
    return buckets;
}

void add_latencies(std::vector<statistic>& samples,
                   latencies const& request_latencies)
{
    for (auto const& [key, histogram] : request_latencies)
    {
        statistic sample;
        sample.name = "request_seconds";
        sample.kind = statistic_kind::histogram;
        sample.labels = {{"place", std::string(to_string(key.place))},
                         {"rank", key.rank},
                         {"result", key.result}};
        sample.value = histogram.sum_seconds;
        sample.buckets = to_buckets(histogram);
        samples.push_back(std::move(sample));
    }
}

void add_queues(std::vector<statistic>& samples, state const& node)
{
    for (auto const& [rank, queue] : node.admission.queues)
    {
        statistic sample;
        sample.name = "queued_requests";
        sample.kind = statistic_kind::gauge;
        sample.labels = {{"rank", rank}};
        sample.value = static_cast<double>(queue.size);
        samples.push_back(std::move(sample));
    }
}

void add_entrance_shares(std::vector<statistic>& samples, state const& node)
{
    for (auto const& [key, gate] : node.entrance.gates)
    {
        statistic sample;
        sample.name = "entrance_share";
        sample.kind = statistic_kind::gauge;
        sample.labels = {{"service", key.first}, {"rank", key.second}};
        sample.value = gate.share;
        samples.push_back(std::move(sample));
    }
}

void add_gauges(std::vector<statistic>& samples, state const& node)
{
    add_gauge(samples,
              "exchanges_in_hand",
              static_cast<double>(node.table.exchanges.size()));
    add_gauge(samples, "upstream_in_flight", node.admission.in_flight);
    add_gauge(samples, "upstream_limit", node.admission.limit.value);
    add_gauge(samples, "upstream_slots", node.admission.limit.slots);
    add_gauge(samples, "takes_work", lifecycle::takes_work(node.lifecycle));
    add_gauge(samples, "health_hint", node.health.is_healthy);
    add_gauge(samples,
              "configuration_revision",
              static_cast<double>(
                  configuration::current(node.configuration).revision));
}

} // namespace

std::vector<statistic> collect_statistics(state const& node)
{
    std::vector<statistic> samples;
    add_counts(samples, node.request_counts.total);
    add_latencies(samples, node.request_latencies);
    add_queues(samples, node);
    add_entrance_shares(samples, node);
    add_gauges(samples, node);
    std::ranges::sort(samples,
                      [](statistic const& left, statistic const& right)
                      {
                          return std::tie(left.name, left.labels) <
                                 std::tie(right.name, right.labels);
                      });
    return samples;
}

} // namespace plantaintally::node
