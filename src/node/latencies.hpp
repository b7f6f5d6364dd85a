// Request latency histograms for the metrics.
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

// The point at which a latency is measured.
enum class latency_place
{
    // From the arrival of a request at its entrance node to its final answer.
    entrance,
    // From the dispatch to the local upstream to the end of that attempt.
    upstream
};

std::string_view to_string(latency_place place);

struct latency_key
{
    latency_place place = latency_place::entrance;
    std::string rank;
    // "answered", or the reason of the refusal or failure.
    std::string result;

    auto operator<=>(latency_key const&) const = default;
};

// A latency histogram in seconds, with bucket bounds that double from one
// millisecond.
struct latency_histogram
{
    using buckets = decltype(boost::histogram::make_histogram(
        boost::histogram::axis::variable<>(std::vector<double>())));

    latency_histogram();

    buckets counts;
    double sum_seconds = 0;
};

// The number of histograms is bounded, since ranks are defined in the
// operators' configuration.
using latencies = std::map<latency_key, latency_histogram>;

void add(latencies& all, latency_key const& key, duration elapsed);

} // namespace plantaintally::node
