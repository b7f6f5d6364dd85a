// How long requests took, as histograms for the metrics.
#pragma once

#include "base/moment.hpp"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace plantaintally::node
{

// Where a time was taken.
enum class latency_place
{
    // From a request's arrival at its entrance to its final answer.
    entrance,
    // From the dispatch to the own upstream to the end of that attempt.
    upstream
};

std::string_view to_string(latency_place place);

struct latency_key
{
    latency_place place = latency_place::entrance;
    std::string rank;
    // "answered", or the kind of failure.
    std::string result;

    auto operator<=>(latency_key const&) const = default;
};

// Times in seconds in buckets whose bounds double from a millisecond on.
struct latency_histogram
{
    using buckets = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::variable<>(std::vector<double>())));

    latency_histogram();

    buckets counts;
    double sum_seconds = 0;
};

// Ranks come from the operators' documents, so their number is bounded.
using latencies = std::map<latency_key, latency_histogram>;

void add(latencies& all, latency_key const& key, duration elapsed);

} // namespace plantaintally::node
