#include "metrics/metrics.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace plantaintally;

TEST_CASE("figures of one name stand together with their labels escaped")
{
    std::vector<node::statistic> const figures{
        {"requests_total",
         node::statistic_kind::counter,
         {{"rank", "a\"b"}},
         3},
        {"queue_length", node::statistic_kind::gauge, {}, 7},
        {"requests_total", node::statistic_kind::counter, {{"rank", "c"}}, 4}};
    CHECK(metrics::write_metrics(figures) ==
          "# TYPE plantaintally_queue_length gauge\n"
          "plantaintally_queue_length 7\n"
          "# TYPE plantaintally_requests_total counter\n"
          "plantaintally_requests_total{rank=\"a\\\"b\"} 3\n"
          "plantaintally_requests_total{rank=\"c\"} 4\n");
}
