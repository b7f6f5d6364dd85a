#include "standin/caller.hpp"

#include "standin/request_key.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace plantaintally::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds completion_check_interval{20};
constexpr double ms_per_s = 1000;
constexpr double us_per_ms = 1000;
// Interval at which a class with a rate of zero checks its rate again.
constexpr double zero_rate_step_s = 0.05;

microseconds from_ms(double duration_ms)
{
    return microseconds(static_cast<std::int64_t>(duration_ms * us_per_ms));
}

asio::awaitable<void> sleep_for(microseconds delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

caller::caller(caller_plan traffic_plan)
    : plan(std::move(traffic_plan)), random(this->plan.seed),
      started_at(clock::now())
{
}

asio::awaitable<void> caller::run()
{
    this->started_at = clock::now();
    auto const executor = co_await asio::this_coro::executor;
    for (std::size_t i = 0; i < this->plan.classes.size(); ++i)
    {
        ++this->running_generators;
        asio::co_spawn(executor, this->generate(i), asio::detached);
    }
    while (this->running_generators > 0 || this->in_flight > 0)
    {
        co_await sleep_for(completion_check_interval);
    }
}

asio::awaitable<void> caller::generate(std::size_t class_index)
{
    auto const executor = co_await asio::this_coro::executor;
    auto const& traffic_class = this->plan.classes[class_index];
    // Each class has its own random sequence, so that the rate of one class
    // does not change the arrival times of another.
    std::mt19937_64 arrivals(this->plan.seed + class_index * 7919 + 1);
    std::exponential_distribution<double> interarrival(1);
    double next_arrival_s = 0;
    while (!this->is_stopped)
    {
        double const rate = this->rate_at(traffic_class.name, next_arrival_s);
        if (rate < 0)
        {
            break;
        }
        next_arrival_s +=
            rate > 0 ? interarrival(arrivals) / rate : zero_rate_step_s;
        asio::steady_timer timer(
            executor, this->started_at + from_ms(next_arrival_s * ms_per_s));
        co_await timer.async_wait(asio::use_awaitable);
        if (rate <= 0)
        {
            continue;
        }
        if (this->in_flight >= this->plan.in_flight_limit)
        {
            this->report.count_suppressed(traffic_class.name);
            continue;
        }
        ++this->in_flight;
        asio::co_spawn(executor,
                       this->send(class_index, ++this->last_request_number),
                       asio::detached);
    }
    --this->running_generators;
}

asio::awaitable<void> caller::send(std::size_t class_index,
                                   std::uint64_t request_number)
{
    auto const& traffic_class = this->plan.classes[class_index];
    auto const& retry = this->plan.retry;
    request_record record;
    record.class_name = traffic_class.name;
    record.start_ms = this->elapsed_ms();
    record.key = this->make_key(traffic_class);
    auto entrance_index = this->random() % this->plan.entrances.size();
    auto key = record.key;
    std::vector<std::string> try_ids;
    for (;;)
    {
        try_ids.push_back("r" + std::to_string(this->plan.seed) + "-" +
                          std::to_string(request_number) + "-" +
                          std::to_string(record.tries));
        ++record.tries;
        record.last = co_await this->send_once(
            traffic_class, this->plan.entrances[entrance_index], try_ids, key);
        record.attempts += record.last.attempts;
        record.max_attempts_reported =
            std::max(record.max_attempts_reported, record.last.attempts);
        record.wrong_answers += record.last.result == try_result::wrong_answer;
        record.interrupted_tries +=
            record.last.result == try_result::interrupted;
        bool const is_done = record.last.result == try_result::complete_answer;
        if (is_done || record.tries > retry.limit)
        {
            break;
        }
        record.earlier_try_may_have_run |=
            record.last.verdict != "not-run" &&
            record.last.result != try_result::unreachable;
        co_await sleep_for(from_ms(retry.backoff_ms));
        if (!retry.keeps_key)
        {
            key = this->make_key(traffic_class);
        }
        if (retry.changes_entrance)
        {
            entrance_index = (entrance_index + 1) % this->plan.entrances.size();
        }
    }
    record.end_ms = this->elapsed_ms();
    record.request_id = try_ids.back();
    this->report.add(std::move(record));
    --this->in_flight;
}

asio::awaitable<try_outcome>
caller::send_once(request_class const& traffic_class,
                  std::string entrance,
                  std::span<std::string const> ids,
                  std::string key)
{
    http_request request(
        http::string_to_verb(traffic_class.method), traffic_class.path, 11);
    request.set(http::field::host, traffic_class.service);
    request.set("X-Request-Id", ids.back());
    if (!key.empty())
    {
        request.set("Idempotency-Key", key);
    }
    if (traffic_class.deadline_ms > 0)
    {
        request.set("Plantaintally-Deadline-Ms",
                    std::to_string(traffic_class.deadline_ms));
    }
    request.body() = std::string(traffic_class.body_bytes, 'b');
    auto const latency = from_ms(this->plan.latency_ms);
    if (latency.count() > 0)
    {
        co_await sleep_for(latency);
    }
    auto const answer =
        co_await this->client->call(std::move(entrance),
                                    std::move(request),
                                    milliseconds(traffic_class.timeout_ms));
    if (latency.count() > 0)
    {
        co_await sleep_for(latency);
    }
    co_return classify_answer(answer, ids);
}

asio::awaitable<http_reply> caller::handle(http_request request)
{
    if (request.target() == "/standin/faults")
    {
        auto const fields = json::parse(request.body());
        this->rate_factor = fields.value("rate_factor", this->rate_factor);
        this->is_stopped = fields.value("stop", this->is_stopped);
        co_return json_reply(200, "{}");
    }
    co_return json_reply(200, this->summary_json());
}

std::string caller::summary_json() const
{
    return this->report.summary_json(this->plan.seed, this->elapsed_ms());
}

double caller::rate_at(std::string const& class_name, double elapsed_s) const
{
    for (auto const& phase : this->plan.phases)
    {
        if (elapsed_s >= phase.seconds)
        {
            elapsed_s -= phase.seconds;
            continue;
        }
        auto const found = phase.rates.find(class_name);
        return found == phase.rates.end() ? 0
                                          : found->second * this->rate_factor;
    }
    return -1;
}

double caller::elapsed_ms() const
{
    return std::chrono::duration<double, std::milli>(clock::now() -
                                                     this->started_at)
        .count();
}

std::string caller::make_key(request_class const& traffic_class)
{
    if (!traffic_class.is_keyed)
    {
        return {};
    }
    auto const unix_time = std::chrono::system_clock::now().time_since_epoch();
    auto const unix_ms =
        std::chrono::duration_cast<milliseconds>(unix_time).count();
    return make_uuidv7(static_cast<std::uint64_t>(unix_ms), this->random);
}

} // namespace plantaintally::standin
