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

constexpr milliseconds end_check_interval{20};
constexpr double ms_per_s = 1000;
constexpr double us_per_ms = 1000;
// A class without traffic looks again after this time.
constexpr double idle_step_s = 0.05;

microseconds from_ms(double span_ms)
{
    return microseconds(static_cast<std::int64_t>(span_ms * us_per_ms));
}

asio::awaitable<void> sleep_for(microseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

caller::caller(caller_plan traffic_plan)
    : plan(std::move(traffic_plan)), random(this->plan.seed),
      began_at(clock::now())
{
}

asio::awaitable<void> caller::run()
{
    this->began_at = clock::now();
    auto const executor = co_await asio::this_coro::executor;
    for (std::size_t i = 0; i < this->plan.classes.size(); ++i)
    {
        ++this->open_generators;
        asio::co_spawn(executor, this->generate(i), asio::detached);
    }
    while (this->open_generators > 0 || this->in_flight > 0)
    {
        co_await sleep_for(end_check_interval);
    }
}

asio::awaitable<void> caller::generate(std::size_t class_index)
{
    auto const executor = co_await asio::this_coro::executor;
    auto const& kind = this->plan.classes[class_index];
    // Each class draws from its own sequence, so that one class's rate does
    // not change another's arrivals.
    std::mt19937_64 arrivals(this->plan.seed + class_index * 7919 + 1);
    std::exponential_distribution<double> gap(1);
    double next_s = 0;
    while (!this->is_stopped)
    {
        double const rate = this->rate_at(kind.name, next_s);
        if (rate < 0)
        {
            break;
        }
        next_s += rate > 0 ? gap(arrivals) / rate : idle_step_s;
        asio::steady_timer timer(executor,
                                 this->began_at + from_ms(next_s * ms_per_s));
        co_await timer.async_wait(asio::use_awaitable);
        if (rate <= 0)
        {
            continue;
        }
        if (this->in_flight >= this->plan.in_flight_limit)
        {
            this->report.count_suppressed(kind.name);
            continue;
        }
        ++this->in_flight;
        asio::co_spawn(executor,
                       this->send(class_index, ++this->last_number),
                       asio::detached);
    }
    --this->open_generators;
}

asio::awaitable<void> caller::send(std::size_t class_index,
                                   std::uint64_t number)
{
    auto const& kind = this->plan.classes[class_index];
    auto const& retry = this->plan.retry;
    request_record record;
    record.class_name = kind.name;
    record.start_ms = this->elapsed_ms();
    record.key = this->make_key(kind);
    auto entrance = this->random() % this->plan.entrances.size();
    auto key = record.key;
    std::vector<std::string> try_ids;
    for (;;)
    {
        try_ids.push_back("r" + std::to_string(this->plan.seed) + "-" +
                          std::to_string(number) + "-" +
                          std::to_string(record.tries));
        ++record.tries;
        record.last = co_await this->send_once(
            kind, this->plan.entrances[entrance], try_ids, key);
        record.attempts += record.last.attempts;
        record.most_attempts =
            std::max(record.most_attempts, record.last.attempts);
        record.wrong_answers += record.last.end == try_end::wrong_answer;
        record.interrupted_tries += record.last.end == try_end::interrupted;
        bool const is_done = record.last.end == try_end::whole_answer;
        if (is_done || record.tries > retry.limit)
        {
            break;
        }
        record.may_have_run_before |= record.last.verdict != "not-run" &&
                                      record.last.end != try_end::unreachable;
        co_await sleep_for(from_ms(retry.backoff_ms));
        if (!retry.keeps_key)
        {
            key = this->make_key(kind);
        }
        if (retry.changes_entrance)
        {
            entrance = (entrance + 1) % this->plan.entrances.size();
        }
    }
    record.end_ms = this->elapsed_ms();
    record.request_id = try_ids.back();
    this->report.add(std::move(record));
    --this->in_flight;
}

asio::awaitable<try_outcome> caller::send_once(request_class const& kind,
                                               std::string entrance,
                                               std::span<std::string const> ids,
                                               std::string key)
{
    http_request request(http::string_to_verb(kind.method), kind.path, 11);
    request.set(http::field::host, kind.service);
    request.set("X-Request-Id", ids.back());
    if (!key.empty())
    {
        request.set("Idempotency-Key", key);
    }
    if (kind.deadline_ms > 0)
    {
        request.set("Plantaintally-Deadline-Ms",
                    std::to_string(kind.deadline_ms));
    }
    request.body() = std::string(kind.body_bytes, 'b');
    auto const latency = from_ms(this->plan.latency_ms);
    if (latency.count() > 0)
    {
        co_await sleep_for(latency);
    }
    auto const answer = co_await this->client->call(
        std::move(entrance), std::move(request), milliseconds(kind.timeout_ms));
    if (latency.count() > 0)
    {
        co_await sleep_for(latency);
    }
    co_return judge_answer(answer, ids);
}

asio::awaitable<http_reply> caller::handle(http_request request)
{
    if (request.target() == "/standin/faults")
    {
        auto const wanted = json::parse(request.body());
        this->rate_factor = wanted.value("rate_factor", this->rate_factor);
        this->is_stopped = wanted.value("stop", this->is_stopped);
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
                                                     this->began_at)
        .count();
}

std::string caller::make_key(request_class const& kind)
{
    if (!kind.is_keyed)
    {
        return {};
    }
    auto const unix_time = std::chrono::system_clock::now().time_since_epoch();
    auto const unix_ms =
        std::chrono::duration_cast<milliseconds>(unix_time).count();
    return make_uuidv7(static_cast<std::uint64_t>(unix_ms), this->random);
}

} // namespace plantaintally::standin
