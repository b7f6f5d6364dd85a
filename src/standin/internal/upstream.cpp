#include "standin/upstream.hpp"

#include "standin/answer_body.hpp"
#include "standin/request_key.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
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

constexpr milliseconds announce_interval{1000};
constexpr milliseconds node_call_timeout{1000};
constexpr milliseconds paused_recheck_interval{200};
constexpr milliseconds default_deadline{30'000};
// A draining upstream stops once no request has arrived or been in flight for
// this long.
constexpr milliseconds drain_idle_time{500};
constexpr milliseconds drain_check_interval{20};
constexpr std::string_view request_id_header = "X-Request-Id";
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::string_view deadline_header = "Plantaintally-Deadline-Ms";
constexpr std::string_view verdict_header = "Plantaintally-Verdict";
constexpr std::string_view not_run = "not-run";

asio::awaitable<void> sleep_for(microseconds delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    co_await timer.async_wait(asio::use_awaitable);
}

std::string_view header(http_request const& request, std::string_view name)
{
    auto const value = request[name];
    return {value.data(), value.size()};
}

http_reply refusal_reply(std::string_view reason)
{
    auto reply = json_reply(503, json{{"reason", reason}}.dump());
    reply.response.set(verdict_header, not_run);
    reply.response.set(http::field::retry_after, "1");
    return reply;
}

http_reply failure_reply(unsigned status, std::string_view reason)
{
    return json_reply(status, json{{"reason", reason}}.dump());
}

milliseconds remaining_time(http_request const& request)
{
    auto const text = header(request, deadline_header);
    std::int64_t remaining_ms = 0;
    auto const parsed =
        std::from_chars(text.data(), text.data() + text.size(), remaining_ms);
    return parsed.ec == std::errc{} ? milliseconds(remaining_ms)
                                    : default_deadline;
}

// Increments a counter for its lifetime.
struct count_guard
{
    std::size_t& count;
    explicit count_guard(std::size_t& open) : count(open)
    {
        ++this->count;
    }
    ~count_guard()
    {
        --this->count;
    }
    count_guard(count_guard const&) = delete;
    count_guard& operator=(count_guard const&) = delete;
};

} // namespace

upstream::upstream(upstream_options upstream_settings)
    : options(std::move(upstream_settings)),
      slots(this->options.slots, this->options.backlog),
      ledger(this->options.effects_log), random(this->options.seed),
      started_at(clock::now())
{
}

asio::awaitable<http_reply> upstream::handle(http_request request)
{
    if (request.target() == "/healthz")
    {
        co_return this->health();
    }
    if (request.target() == "/plantaintally/v1/drain")
    {
        ++this->counters.drain_requests;
        co_return json_reply(200, "{}");
    }
    if (request.target() == "/standin/faults")
    {
        co_return this->change_faults(request.body());
    }
    if (request.target() == "/standin/report")
    {
        co_return json_reply(200, this->report_json());
    }
    auto const* route = this->find_route(request);
    if (route == nullptr)
    {
        co_return failure_reply(404, "no such route");
    }
    count_guard const open(this->in_flight);
    ++this->counters.arrived;
    this->counters.last_arrival_unix_ms =
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    while (this->faults.is_paused)
    {
        co_await this->paused_requests.wait(paused_recheck_interval);
    }
    co_return co_await this->serve(std::move(request), *route);
}

asio::awaitable<http_reply> upstream::serve(http_request request,
                                            upstream_route const& route)
{
    auto const deadline = clock::now() + remaining_time(request);
    std::optional<slot> held_slot;
    if (!this->faults.sheds_all)
    {
        auto acquired = co_await this->slots.acquire();
        if (acquired)
        {
            held_slot.emplace(std::move(*acquired));
        }
    }
    if (!held_slot)
    {
        ++this->counters.shed;
        co_return refusal_reply("backlog full");
    }
    if (clock::now() >= deadline)
    {
        ++this->counters.deadline_missed;
        co_return refusal_reply("deadline passed in the backlog");
    }
    ++this->counters.started;
    auto reply = co_await this->run(request, route, deadline);
    reply.response.set(request_id_header, header(request, request_id_header));
    co_return reply;
}

asio::awaitable<http_reply> upstream::run(http_request const& request,
                                          upstream_route const& route,
                                          clock::time_point deadline)
{
    co_await sleep_for(this->draw_service_time(route));
    bool is_first_call = true;
    for (auto const& call : route.calls)
    {
        if (this->options.node_address.empty())
        {
            break;
        }
        auto reply = co_await this->call_downstream(
            request, call, deadline, is_first_call);
        if (reply.response.result_int() >= 300)
        {
            ++this->counters.downstream_failed;
            co_return reply;
        }
        is_first_call = false;
    }
    if (clock::now() >= deadline)
    {
        ++this->counters.deadline_missed;
        co_return failure_reply(504, "deadline passed");
    }
    auto const request_id = header(request, request_id_header);
    if (route.has_effect)
    {
        this->ledger.record(header(request, key_header), request_id);
    }
    ++this->counters.answered;
    http_reply reply;
    reply.response.result(http::status::ok);
    reply.response.body() =
        make_answer_body(request_id, this->options.name, route.answer_bytes);
    co_return reply;
}

asio::awaitable<http_reply>
upstream::call_downstream(http_request const& request,
                          downstream_call const& call,
                          clock::time_point deadline,
                          bool is_first_call)
{
    auto const remaining =
        std::chrono::duration_cast<milliseconds>(deadline - clock::now());
    if (remaining.count() <= 0)
    {
        co_return failure_reply(504, "deadline passed before a call");
    }
    http_request downstream(http::string_to_verb(call.method), call.path, 11);
    downstream.set(http::field::host, call.service);
    downstream.set(request_id_header, header(request, request_id_header));
    downstream.set(deadline_header, std::to_string(remaining.count()));
    auto const key = header(request, key_header);
    if (!key.empty())
    {
        downstream.set(key_header, derive_key(key, call.service + call.path));
    }
    auto const answer = co_await this->client->call(
        this->options.node_address, std::move(downstream), remaining);
    if (!answer)
    {
        co_return failure_reply(502, answer.error().message);
    }
    auto const& response = answer.value();
    auto const is_refused =
        response.result_int() == 503 && response[verdict_header] == not_run;
    if (is_refused && is_first_call)
    {
        co_return refusal_reply("downstream refused");
    }
    if (response.result_int() >= 300)
    {
        co_return failure_reply(502, "downstream failed");
    }
    auto const checked =
        check_answer_body(response.body(), header(request, request_id_header));
    if (!checked)
    {
        co_return failure_reply(502, checked.error().message);
    }
    http_reply reply;
    reply.response.result(http::status::ok);
    co_return reply;
}

upstream_route const* upstream::find_route(http_request const& request) const
{
    auto const target =
        std::string_view(request.target().data(), request.target().size());
    auto const found =
        std::find_if(this->options.routes.begin(),
                     this->options.routes.end(),
                     [&](upstream_route const& route)
                     {
                         return route.method == request.method_string() &&
                                target.starts_with(route.path);
                     });
    return found == this->options.routes.end() ? nullptr : &*found;
}

microseconds upstream::draw_service_time(upstream_route const& route)
{
    double const exponential_ms = route.service_ms * route.spread;
    double service_ms = route.service_ms - exponential_ms;
    if (exponential_ms > 0)
    {
        std::exponential_distribution<double> exponential(1 / exponential_ms);
        service_ms += exponential(this->random);
    }
    auto const age = std::chrono::duration<double, std::milli>(
        clock::now() - this->started_at);
    double const cold_fraction =
        this->options.cold_start_ms == 0
            ? 0
            : std::max(0.0, 1 - age.count() / this->options.cold_start_ms);
    double const backlog_fill =
        static_cast<double>(this->slots.waiting()) /
        static_cast<double>(std::max<std::size_t>(1, this->options.backlog));
    double const factor =
        this->faults.slow_factor *
        (1 + (this->options.cold_factor - 1) * cold_fraction) *
        (1 + this->options.contention * backlog_fill);
    constexpr double us_per_ms = 1000;
    return microseconds(
        static_cast<std::int64_t>(service_ms * factor * us_per_ms));
}

std::string upstream::announcement_json() const
{
    json const body = {{"service", this->options.service},
                       {"address", this->options.address},
                       {"slots", this->slots.slots()},
                       {"connections", this->options.connections},
                       {"cold_start_ms", this->options.cold_start_ms}};
    return body.dump();
}

asio::awaitable<void> upstream::post_to_node(std::string path, std::string body)
{
    http_request message(http::verb::post, path, 11);
    message.set(http::field::host, "localhost");
    message.set(http::field::content_type, "application/json");
    message.body() = std::move(body);
    // Errors are ignored: announcements are periodic, so that a node that was
    // unreachable gets the next one.
    co_await this->client->call(
        this->options.node_address, std::move(message), node_call_timeout);
}

asio::awaitable<void> upstream::announce()
{
    while (!this->options.node_address.empty() && !this->is_draining)
    {
        co_await this->post_to_node("/plantaintally/v1/announce",
                                    this->announcement_json());
        co_await sleep_for(announce_interval);
    }
}

asio::awaitable<void> upstream::drain()
{
    this->is_draining = true;
    bool const has_node = !this->options.node_address.empty();
    if (has_node)
    {
        co_await this->post_to_node("/plantaintally/v1/drain", "");
    }
    auto last_arrived = this->counters.arrived;
    auto idle_since = clock::now();
    while (clock::now() - idle_since < drain_idle_time)
    {
        co_await sleep_for(drain_check_interval);
        if (this->in_flight > 0 || this->counters.arrived != last_arrived)
        {
            last_arrived = this->counters.arrived;
            idle_since = clock::now();
        }
    }
    if (has_node)
    {
        co_await this->post_to_node("/plantaintally/v1/gone", "");
    }
}

} // namespace plantaintally::standin
