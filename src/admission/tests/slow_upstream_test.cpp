#include "admission/concurrency_limit.hpp"
#include "base/random.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>

using namespace plantaintally;
using namespace plantaintally::admission;
using namespace std::chrono_literals;

namespace
{

// Simulates a fully used upstream in virtual time. Service times are
// exponentially distributed; their mean depends on the number of running
// requests.
class fully_used_upstream
{
public:
    explicit fully_used_upstream(std::uint32_t slots)
    {
        open_limit(this->limit, slots, 0s, this->now);
    }

    void run(duration length, std::function<double(double)> const& mean_us)
    {
        instant const end = this->now + length;
        while (this->now < end)
        {
            std::uint32_t const running = current_limit(this->limit);
            double const mean = mean_us(running);
            double const drawn =
                -mean * std::log(1.0 - draw_fraction(this->random));
            duration const service_time(static_cast<duration::rep>(drawn));
            // With `running` requests in parallel, the mean time between two
            // completions is mean / running.
            this->now += duration(static_cast<duration::rep>(mean / running));
            note_sample(this->limit,
                        "booking",
                        {sample_kind::completed, service_time, service_time},
                        running,
                        this->now);
        }
    }

    concurrency_limit limit;
    instant now{100s};

private:
    random_source random{5};
};

} // namespace

TEST_CASE("an upstream that becomes slow keeps nine tenths of its slots in use")
{
    fully_used_upstream upstream(10);
    upstream.run(20s, [](double) { return 200'000.0; });
    REQUIRE(current_limit(upstream.limit) >= 9);
    upstream.run(10s, [](double) { return 400'000.0; });
    double slots_seen = 0;
    for (int second = 0; second < 60; ++second)
    {
        upstream.run(1s, [](double) { return 400'000.0; });
        slots_seen += current_limit(upstream.limit);
    }
    CHECK(slots_seen / 60 >= 9);
}

TEST_CASE("the limit falls if service times grow with the number of requests")
{
    // 40 slots are announced, but requests slow each other down beyond 10.
    auto const contended = [](double running)
    {
        return 20'000.0 * std::max(1.0, running / 10.0);
    };
    fully_used_upstream upstream(40);
    upstream.limit.value = 10;
    upstream.run(5s, [](double) { return 20'000.0; });
    upstream.limit.value = 40;
    upstream.run(60s, contended);
    CHECK(current_limit(upstream.limit) <= 30);
}
