#include "drivers/internal/edge_api.hpp"

#include "codec/bounded_json.hpp"
#include "logging/logging.hpp"

#include <utility>

namespace plantaintally::drivers
{

namespace
{

// The upstream waits at most one second for the response to a report.
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

edge_api::edge_api(services required)
    : dependencies(std::move(required)),
      pending_reports(this->dependencies.tasks.executor())
{
}

asio::awaitable<local_answer> edge_api::answer(incoming_request const& request)
{
    if (request.target == "/metrics" && request.method == "GET")
    {
        co_return local_answer{ok,
                               "text/plain; version=0.0.4; charset=utf-8",
                               this->dependencies.write_metrics()};
    }
    auto read = this->dependencies.external_dialect.read_edge_call(request);
    if (!read)
    {
        co_return status_answer(not_found, "unknown target");
    }
    if (!*read)
    {
        this->dependencies.driver_metrics.add({"input_refused_total",
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
    co_return co_await this->handle_report(
        std::get<upstream_report>(std::move(read->value())));
}

void edge_api::answer_report(plantaintally::answer_report const& answered)
{
    this->pending_reports.resolve(answered.report, answered.is_accepted);
}

void edge_api::set_ready(bool ready)
{
    this->is_ready = ready;
}

asio::awaitable<local_answer> edge_api::handle_report(upstream_report reported)
{
    // Reports of a departure name no service.
    auto const& service = reported.announcement.service;
    if (!service.empty() && !this->dependencies.service.empty() &&
        service != this->dependencies.service)
    {
        co_return status_answer(bad_request,
                                "the report is of another service than " +
                                    this->dependencies.service);
    }
    report_id const id{++this->last_report_id};
    this->pending_reports.open(id);
    this->dependencies.submit_event(
        upstream_reported{id,
                          std::move(reported.incarnation),
                          reported.phase,
                          std::move(reported.announcement)});
    auto const is_accepted =
        co_await this->pending_reports.wait(id, report_timeout);
    if (!is_accepted.value_or(false))
    {
        co_return status_answer(service_unavailable,
                                "report not recorded; retry");
    }
    co_return local_answer{ok, "application/json", "{}"};
}

local_answer edge_api::readiness() const
{
    return this->is_ready ? status_answer(ok, "ready")
                          : status_answer(service_unavailable, "not ready");
}

} // namespace plantaintally::drivers
