#include "drivers/internal/counters.hpp"

#include <boost/container_hash/hash.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <string>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

node::statistic
make_statistic(metric_name const& name, node::statistic_kind kind, double value)
{
    node::statistic exported{std::string(name.name), kind, {}, value};
    if (!name.label.empty())
    {
        exported.labels.emplace_back(name.label, name.value);
    }
    if (!name.second_label.empty())
    {
        exported.labels.emplace_back(name.second_label, name.second_value);
    }
    return exported;
}

template <class Values>
void append_sorted(std::vector<node::statistic>& statistics,
                   Values const& values,
                   node::statistic_kind kind)
{
    std::vector<std::pair<metric_name, double>> sorted(values.begin(),
                                                       values.end());
    std::ranges::sort(sorted);
    for (auto const& [name, value] : sorted)
    {
        statistics.push_back(make_statistic(name, kind, value));
    }
}

double seconds(timeval const& time)
{
    constexpr double microseconds_per_second = 1e6;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / microseconds_per_second;
}

double resident_bytes()
{
    std::ifstream pages("/proc/self/statm");
    double total = 0;
    double resident = 0;
    pages >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

std::size_t metric_name_hash::operator()(metric_name const& name) const noexcept
{
    std::size_t hash = 0;
    for (std::string_view const part : {name.name,
                                        name.label,
                                        name.value,
                                        name.second_label,
                                        name.second_value})
    {
        boost::hash_combine(hash, std::hash<std::string_view>{}(part));
    }
    return hash;
}

void counters::add(metric_name const& name, double amount)
{
    this->totals[name] += amount;
}

void counters::set(metric_name const& name, double value)
{
    this->gauges[name] = value;
}

void counters::adjust(metric_name const& name, double amount)
{
    this->gauges[name] += amount;
}

double counters::value_of(metric_name const& name) const
{
    if (auto const total = this->totals.find(name); total != this->totals.end())
    {
        return total->second;
    }
    auto const gauge = this->gauges.find(name);
    return gauge == this->gauges.end() ? 0 : gauge->second;
}

std::vector<node::statistic> counters::collect() const
{
    std::vector<node::statistic> statistics;
    append_sorted(statistics, this->totals, node::statistic_kind::counter);
    append_sorted(statistics, this->gauges, node::statistic_kind::gauge);
    return statistics;
}

std::vector<node::statistic> collect_process_metrics()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return {{"process_cpu_seconds_total",
             node::statistic_kind::counter,
             {},
             seconds(usage.ru_utime) + seconds(usage.ru_stime)},
            {"process_resident_bytes",
             node::statistic_kind::gauge,
             {},
             resident_bytes()}};
}

} // namespace plantaintally::drivers
