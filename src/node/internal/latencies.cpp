#include "node/latencies.hpp"

namespace plantaintally::node
{

namespace
{

// Bucket bounds in seconds, from the latency that a node adds to a request to
// the longest route timeouts.
std::vector<double> bucket_bounds()
{
    constexpr double shortest_s = 0.001;
    constexpr double longest_s = 16.0;
    std::vector<double> bounds{0};
    for (double bound = shortest_s; bound <= longest_s; bound *= 2)
    {
        bounds.push_back(bound);
    }
    return bounds;
}

} // namespace

std::string_view to_string(latency_place place)
{
    return place == latency_place::entrance ? "entrance" : "upstream";
}

latency_histogram::latency_histogram()
    : counts(boost::histogram::make_histogram(
          boost::histogram::axis::variable<>(bucket_bounds())))
{
}

void add(latencies& all, latency_key const& key, duration elapsed)
{
    double const seconds = std::chrono::duration<double>(elapsed).count();
    latency_histogram& histogram = all[key];
    histogram.counts(seconds);
    histogram.sum_seconds += seconds;
}

} // namespace plantaintally::node
