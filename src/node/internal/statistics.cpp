#include "node/statistics.hpp"

#include <algorithm>
#include <limits>

namespace plantaintally::node
{

namespace
{

void add_gauge(std::vector<statistic>& figures, std::string name, double value)
{
    statistic figure;
    figure.name = std::move(name);
    figure.kind = statistic_kind::gauge;
    figure.value = value;
    figures.push_back(std::move(figure));
}

void add_counts(std::vector<statistic>& figures, counts const& total)
{
    for (auto const& [key, value] : total)
    {
        statistic figure;
        figure.name = "requests_" + std::string(to_string(key.kind)) + "_total";
        figure.labels = {{"service", key.service},
                         {"rank", key.rank},
                         {"reason", key.reason}};
        figure.value = static_cast<double>(value);
        figures.push_back(std::move(figure));
    }
}

std::vector<statistic_bucket> to_buckets(latency_histogram const& histogram)
{
    std::vector<statistic_bucket> buckets;
    std::uint64_t below = 0;
    auto const& axis = histogram.counts.axis();
    for (int index = 0; index <= axis.size(); ++index)
    {
        below += static_cast<std::uint64_t>(histogram.counts.at(index));
        double const bound = index < axis.size()
                                 ? axis.bin(index).upper()
                                 : std::numeric_limits<double>::infinity();
        buckets.push_back({bound, below});
    }
    return buckets;
}

void add_latencies(std::vector<statistic>& figures, latencies const& timed)
{
    for (auto const& [key, histogram] : timed)
    {
        statistic figure;
        figure.name = "request_seconds";
        figure.kind = statistic_kind::histogram;
        figure.labels = {{"place", std::string(to_string(key.place))},
                         {"rank", key.rank},
                         {"result", key.result}};
        figure.value = histogram.sum_s;
        figure.buckets = to_buckets(histogram);
        figures.push_back(std::move(figure));
    }
}

void add_queues(std::vector<statistic>& figures, state const& node)
{
    for (auto const& [rank, queue] : node.admission.queues)
    {
        statistic figure;
        figure.name = "queued_requests";
        figure.kind = statistic_kind::gauge;
        figure.labels = {{"rank", rank}};
        figure.value = static_cast<double>(queue.size);
        figures.push_back(std::move(figure));
    }
}

void add_gauges(std::vector<statistic>& figures, state const& node)
{
    add_gauge(figures,
              "exchanges_in_hand",
              static_cast<double>(node.table.exchanges.size()));
    add_gauge(figures, "upstream_in_flight", node.admission.in_flight);
    add_gauge(figures, "upstream_limit", node.admission.limit.value);
    add_gauge(figures, "upstream_slots", node.admission.limit.slots);
    add_gauge(figures, "takes_work", lifecycle::takes_work(node.lifecycle));
    add_gauge(figures, "health_hint", node.health.is_healthy);
    add_gauge(figures,
              "configuration_revision",
              static_cast<double>(
                  configuration::current(node.configuration).revision));
}

} // namespace

std::vector<statistic> collect_statistics(state const& node)
{
    std::vector<statistic> figures;
    add_counts(figures, node.counted.total);
    add_latencies(figures, node.timed);
    add_queues(figures, node);
    add_gauges(figures, node);
    std::ranges::sort(figures,
                      [](statistic const& left, statistic const& right)
                      {
                          return std::tie(left.name, left.labels) <
                                 std::tie(right.name, right.labels);
                      });
    return figures;
}

} // namespace plantaintally::node
