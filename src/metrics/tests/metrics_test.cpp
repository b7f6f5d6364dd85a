#include "metrics/metrics.hpp"

#include <catch2/catch.hpp>

#include <limits>
#include <vector>

using namespace plantaintally;

TEST_CASE("a histogram is written with its buckets, sum and count")
{
    node::statistic sample{
        "request_seconds", node::statistic_kind::histogram, {}, 1.5};
    sample.buckets = {
        {0.25, 2}, {1, 3}, {std::numeric_limits<double>::infinity(), 4}};
    CHECK(metrics::write_metrics(std::vector{sample}) ==
          "# TYPE plantaintally_request_seconds histogram\n"
          "plantaintally_request_seconds_count 4\n"
          "plantaintally_request_seconds_sum 1.5\n"
          "plantaintally_request_seconds_bucket{le=\"0.25\"} 2\n"
          "plantaintally_request_seconds_bucket{le=\"1\"} 3\n"
          "plantaintally_request_seconds_bucket{le=\"+Inf\"} 4\n");
}

TEST_CASE("samples are grouped by name and their labels are escaped")
{
    std::vector<node::statistic> const samples{
        {"requests_total",
         node::statistic_kind::counter,
         {{"rank", "a\"b"}},
         3},
        {"queue_length", node::statistic_kind::gauge, {}, 7},
        {"requests_total", node::statistic_kind::counter, {{"rank", "c"}}, 4}};
    CHECK(metrics::write_metrics(samples) ==
          "# TYPE plantaintally_queue_length gauge\n"
          "plantaintally_queue_length 7\n"
          "# TYPE plantaintally_requests_total counter\n"
          "plantaintally_requests_total{rank=\"a\\\"b\"} 3\n"
          "plantaintally_requests_total{rank=\"c\"} 4\n");
}
