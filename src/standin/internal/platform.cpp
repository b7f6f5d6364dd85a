#include "standin/platform.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace plantaintally::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;
using clock = std::chrono::steady_clock;

namespace
{

constexpr std::chrono::milliseconds lease_check_interval{20};
constexpr std::uint32_t max_watch_ms = 60'000;
constexpr std::int64_t max_lease_ttl_ms = 3'600'000;
constexpr unsigned permille_scale = 1000;

struct kv_target
{
    // The path segments, percent-decoded.
    std::vector<std::string> path;
    bool is_watch = false;
    std::uint64_t after_revision = 0;
    std::uint32_t wait_ms = 0;
};

kv_target parse_target(std::string_view target)
{
    kv_target parsed;
    auto const view = boost::urls::parse_origin_form(target).value();
    for (auto segment : view.segments())
    {
        parsed.path.push_back(segment);
    }
    for (auto param : view.params())
    {
        if (param.key == "after")
        {
            parsed.is_watch = true;
            parsed.after_revision = std::stoull(param.value);
        }
        if (param.key == "wait_ms")
        {
            parsed.wait_ms = static_cast<std::uint32_t>(std::min<std::uint64_t>(
                std::stoull(param.value), max_watch_ms));
        }
    }
    return parsed;
}

http_reply entry_reply(std::string const& key, kv_entry const& entry)
{
    json const body = {
        {"key", key}, {"value", entry.value}, {"revision", entry.revision}};
    return json_reply(200, body.dump());
}

struct write_reply_visitor
{
    http_reply operator()(kv_written const& written) const
    {
        return json_reply(200, json{{"revision", written.revision}}.dump());
    }

    http_reply operator()(kv_conflict const& conflict) const
    {
        return json_reply(409,
                          json{{"revision", conflict.current_revision}}.dump());
    }

    http_reply operator()(kv_unknown_lease) const
    {
        return json_reply(410, "{}");
    }

    http_reply operator()(kv_too_large) const
    {
        return json_reply(413, "{}");
    }

    http_reply operator()(kv_full) const
    {
        return json_reply(507, "{}");
    }
};

} // namespace

platform::platform(std::uint64_t seed) : random(seed) {}

asio::awaitable<http_reply> platform::handle(http_request request)
{
    if (request.target() == "/standin/faults")
    {
        co_return this->change_faults(request.body());
    }
    if (request.target() == "/standin/report" ||
        request.target() == "/v1/counters")
    {
        co_return this->report();
    }
    if (this->faults.is_down)
    {
        co_return http_reply{{}, true};
    }
    if (this->random() % permille_scale < this->faults.reject_permille)
    {
        co_return json_reply(503, "{}");
    }
    bool const is_write = request.method() == http::verb::put ||
                          request.method() == http::verb::post;
    auto reply = co_await this->handle_kv(std::move(request));
    if (this->faults.slow_ms > 0)
    {
        asio::steady_timer timer(
            co_await asio::this_coro::executor,
            std::chrono::milliseconds(this->faults.slow_ms));
        co_await timer.async_wait(asio::use_awaitable);
    }
    reply.is_dropped =
        this->faults.is_down || (is_write && this->faults.loses_answers);
    co_return reply;
}

asio::awaitable<http_reply> platform::handle_kv(http_request request)
{
    auto const target = parse_target(request.target());
    auto const& path = target.path;
    if (this->store.expire_leases(clock::now()))
    {
        this->watchers.notify_all();
    }
    if (path.size() >= 2 && path[0] == "v1" && path[1] == "leases")
    {
        co_return this->handle_lease(request);
    }
    if (path.size() != 3 || path[0] != "v1" || path[1] != "kv")
    {
        co_return json_reply(404, "{}");
    }
    if (request.method() == http::verb::put)
    {
        co_return this->write(path[2], request.body());
    }
    if (request.method() != http::verb::get)
    {
        co_return json_reply(405, "{}");
    }
    if (target.is_watch)
    {
        co_return co_await this->watch(
            path[2], target.after_revision, target.wait_ms);
    }
    co_return this->read(path[2]);
}

http_reply platform::read(std::string const& key)
{
    ++this->counters.reads;
    auto const* entry = this->store.find(key);
    return entry == nullptr ? json_reply(404, "{}") : entry_reply(key, *entry);
}

asio::awaitable<http_reply> platform::watch(std::string key,
                                            std::uint64_t after_revision,
                                            std::uint32_t wait_ms)
{
    ++this->counters.watches;
    auto const deadline = clock::now() + std::chrono::milliseconds(wait_ms);
    for (;;)
    {
        auto const* entry = this->store.find(key);
        if (entry != nullptr && entry->revision > after_revision)
        {
            co_return entry_reply(key, *entry);
        }
        if (entry == nullptr && after_revision > 0)
        {
            co_return json_reply(404, "{}");
        }
        auto const remaining = deadline - clock::now();
        if (remaining <= clock::duration::zero() || this->faults.is_down)
        {
            co_return json_reply(304, "");
        }
        co_await this->watchers.wait(
            std::chrono::duration_cast<std::chrono::microseconds>(remaining));
    }
}

http_reply platform::write(std::string const& key, std::string const& body)
{
    ++this->counters.writes;
    auto const fields = json::parse(body);
    auto value = fields.at("value").get<std::string>();
    this->counters.largest_value_bytes = std::max<std::uint64_t>(
        this->counters.largest_value_bytes, value.size());
    auto const outcome = this->store.compare_and_swap(
        key,
        std::move(value),
        fields.value("expected_revision", std::uint64_t{0}),
        fields.value("lease", std::string()));
    if (std::holds_alternative<kv_written>(outcome))
    {
        this->watchers.notify_all();
    }
    return std::visit(write_reply_visitor{}, outcome);
}

http_reply platform::handle_lease(http_request const& request)
{
    ++this->counters.lease_calls;
    auto const path = parse_target(request.target()).path;
    auto const now = clock::now();
    if (request.method() == http::verb::post && path.size() == 2)
    {
        auto const ttl_ms =
            json::parse(request.body()).at("ttl_ms").get<std::int64_t>();
        if (ttl_ms <= 0 || ttl_ms > max_lease_ttl_ms)
        {
            return json_reply(400, "{}");
        }
        auto const lease =
            this->store.grant_lease(std::chrono::milliseconds(ttl_ms), now);
        return lease ? json_reply(
                           200,
                           json{{"lease", *lease}, {"ttl_ms", ttl_ms}}.dump())
                     : json_reply(507, "{}");
    }
    if (request.method() == http::verb::put && path.size() == 3)
    {
        auto const ttl = this->store.renew_lease(path[2], now);
        return ttl ? json_reply(
                         200,
                         json{{"lease", path[2]}, {"ttl_ms", ttl->count()}}
                             .dump())
                   : json_reply(404, "{}");
    }
    return json_reply(405, "{}");
}

http_reply platform::change_faults(std::string const& body)
{
    auto const fields = json::parse(body);
    auto& active = this->faults;
    active.slow_ms = fields.value("slow_ms", active.slow_ms);
    active.is_down = fields.value("down", active.is_down);
    active.loses_answers = fields.value("lose_answers", active.loses_answers);
    active.reject_permille =
        fields.value("reject_permille", active.reject_permille);
    this->watchers.notify_all();
    return json_reply(200, "{}");
}

http_reply platform::report() const
{
    json const body = {
        {"reads", this->counters.reads},
        {"writes", this->counters.writes},
        {"watches", this->counters.watches},
        {"lease_calls", this->counters.lease_calls},
        {"largest_value_bytes", this->counters.largest_value_bytes},
        {"keys", this->store.key_count()}};
    return json_reply(200, body.dump());
}

asio::awaitable<void> platform::run_lease_expiry()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;)
    {
        timer.expires_after(lease_check_interval);
        co_await timer.async_wait(asio::use_awaitable);
        if (this->store.expire_leases(clock::now()))
        {
            this->watchers.notify_all();
        }
    }
}

} // namespace plantaintally::standin
