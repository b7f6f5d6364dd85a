#include "drivers/internal/edge_api.hpp"

#include "codec/bounded_json.hpp"
#include "logging/logging.hpp"

#include <utility>

namespace plantaintally::drivers
{

namespace
{

// A report is of use to the upstream only if it is answered within a second.
constexpr duration report_timeout = std::chrono::milliseconds(900);
constexpr std::uint32_t ok = 200;
constexpr std::uint32_t bad_request = 400;
constexpr std::uint32_t not_found = 404;
constexpr std::uint32_t service_unavailable = 503;

local_answer status_answer(std::uint32_t status, std::string_view detail)
{
    return {
        status, "application/json", codec::write_json({{"detail", detail}})};
}

} // namespace

edge_api::edge_api(services wanted)
    : chosen(std::move(wanted)), reports(this->chosen.tasks.executor())
{
}

asio::awaitable<local_answer> edge_api::answer(incoming_request const& request)
{
    if (request.target == "/metrics" && request.method == "GET")
    {
        co_return local_answer{ok,
                               "text/plain; version=0.0.4; charset=utf-8",
                               this->chosen.write_metrics()};
    }
    auto read = this->chosen.spoken.read_edge_call(request);
    if (!read)
    {
        co_return status_answer(not_found, "no such request");
    }
    if (!*read)
    {
        this->chosen.figures.add({"input_refused_total",
                                  "listener",
                                  "edge",
                                  "reason",
                                  "bad-report"});
        logging::write(
            {logging::level::warning,
             "drivers",
             "report-unreadable",
             {{"target", request.target}, {"cause", read->error().message}}});
        co_return status_answer(bad_request, read->error().message);
    }
    if (std::holds_alternative<readiness_query>(read->value()))
    {
        co_return this->readiness();
    }
    co_return co_await this->take_report(
        std::get<upstream_report>(std::move(read->value())));
}

void edge_api::answer_report(plantaintally::answer_report const& answered)
{
    this->reports.resolve(answered.report, answered.is_accepted);
}

void edge_api::set_ready(bool ready)
{
    this->is_ready = ready;
}

asio::awaitable<local_answer> edge_api::take_report(upstream_report stated)
{
    report_id const id{++this->last_report};
    this->reports.open(id);
    this->chosen.hand_in(upstream_reported{id,
                                           std::move(stated.life),
                                           stated.phase,
                                           std::move(stated.announcement)});
    auto const is_accepted = co_await this->reports.wait(id, report_timeout);
    if (!is_accepted.value_or(false))
    {
        co_return status_answer(service_unavailable, "not recorded; ask again");
    }
    co_return local_answer{ok, "application/json", "{}"};
}

local_answer edge_api::readiness() const
{
    return this->is_ready ? status_answer(ok, "ready")
                          : status_answer(service_unavailable, "not ready");
}

} // namespace plantaintally::drivers
