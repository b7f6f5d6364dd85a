// The control endpoints of a stand-in upstream: health, faults and report.
#include "standin/upstream.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace plantaintally::standin
{

using json = nlohmann::json;
using std::chrono::milliseconds;

http_reply upstream::health()
{
    auto const now = clock::now();
    bool const is_stale =
        now - this->last_health_at >= milliseconds(this->faults.health_lag_ms);
    if (this->last_health.empty() || is_stale)
    {
        auto const busy = this->slots.running() + this->slots.waiting();
        bool const is_full = busy >= this->slots.slots();
        json const actual = {
            {"healthy", !is_full && !this->faults.is_paused},
            {"load_permille",
             1000 * busy / std::max<std::size_t>(1, this->slots.slots())}};
        this->last_health = actual.dump();
        this->last_health_at = now;
    }
    switch (this->faults.health)
    {
    case health_mode::always_healthy:
        return json_reply(200, R"({"healthy":true,"load_permille":0})");
    case health_mode::always_unhealthy:
        return json_reply(200, R"({"healthy":false,"load_permille":1000})");
    case health_mode::actual:
        break;
    }
    return json_reply(200, this->last_health);
}

http_reply upstream::change_faults(std::string const& body)
{
    auto const fields = json::parse(body);
    auto& active = this->faults;
    active.slow_factor = fields.value("slow_factor", active.slow_factor);
    active.is_paused = fields.value("paused", active.is_paused);
    active.sheds_all = fields.value("shed", active.sheds_all);
    active.health_lag_ms = fields.value("health_lag_ms", active.health_lag_ms);
    if (fields.contains("health"))
    {
        auto const mode = fields["health"].get<std::string>();
        active.health = mode == "healthy" ? health_mode::always_healthy
                        : mode == "sick"  ? health_mode::always_unhealthy
                                          : health_mode::actual;
    }
    if (fields.contains("slots"))
    {
        this->slots.resize(fields["slots"].get<std::size_t>());
    }
    if (fields.contains("connections"))
    {
        this->options.connections = fields["connections"].get<std::size_t>();
        this->server->set_connection_limit(this->options.connections);
    }
    if (fields.value("cold_start", false))
    {
        this->started_at = clock::now();
    }
    this->paused_requests.notify_all();
    return json_reply(200, "{}");
}

std::string upstream::report_json() const
{
    auto const& totals = this->counters;
    json const body = {
        {"service", this->options.service},
        {"name", this->options.name},
        {"arrived", totals.arrived},
        {"started", totals.started},
        {"answered", totals.answered},
        {"shed", totals.shed},
        {"deadline_missed", totals.deadline_missed},
        {"downstream_failed", totals.downstream_failed},
        {"last_arrival_unix_ms", totals.last_arrival_unix_ms},
        {"drain_requests", totals.drain_requests},
        {"effects", this->ledger.effects()},
        {"duplicates", this->ledger.duplicates()},
        {"running", this->slots.running()},
        {"waiting", this->slots.waiting()},
        {"connections", this->server->connections()},
        {"refused_connections", this->server->refused_connections()},
        {"cancelled", this->server->cancelled_requests()}};
    return body.dump();
}

} // namespace plantaintally::standin
