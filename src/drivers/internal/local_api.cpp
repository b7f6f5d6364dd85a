#include "drivers/internal/local_api.hpp"

#include "codec/bounded_json.hpp"
#include "drivers/internal/problem.hpp"
#include "metrics/metrics.hpp"
#include "settings/settings.hpp"

#include <limits>
#include <utility>

namespace plantaintally::drivers
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view path_prefix = "/plantaintally/";
constexpr std::size_t max_command_bytes = 64U << 10U;
constexpr std::size_t max_service_bytes = 255;
constexpr std::uint32_t bad_request = 400;
constexpr std::uint32_t not_found = 404;
constexpr std::uint32_t method_not_allowed = 405;
constexpr std::uint32_t gateway_timeout = 504;

local_answer problem_answer(std::uint32_t status, std::string detail)
{
    bool const has_timed_out = status == gateway_timeout;
    return {
        status,
        std::string(problem_media_type),
        write_problem(
            {status,
             std::move(detail),
             has_timed_out ? refusal::deadline_passed : refusal::bad_request,
             has_timed_out ? verdict::may_have_run : verdict::not_run})};
}

local_answer json_answer(json const& body)
{
    return {200, "application/json", codec::write_json(body)};
}

local_answer accepted()
{
    return json_answer({{"status", "accepted"}});
}

// Reads an integer member of the announcement; sets `problem` if it is missing
// or out of range.
std::uint32_t read_integer(json const& body,
                           char const* name,
                           std::uint32_t lowest,
                           std::string& problem)
{
    constexpr std::uint64_t highest = std::numeric_limits<std::int32_t>::max();
    auto const found = body.find(name);
    bool const is_number = found != body.end() && found->is_number_unsigned() &&
                           found->get<std::uint64_t>() >= lowest &&
                           found->get<std::uint64_t>() <= highest;
    if (!is_number)
    {
        problem = std::string(name) + ": must be a whole number from " +
                  std::to_string(lowest) + " to " + std::to_string(highest) +
                  " inclusive";
        return 0;
    }
    return found->get<std::uint32_t>();
}

std::string
read_string(json const& body, char const* name, std::string& problem)
{
    auto const found = body.find(name);
    if (found == body.end() || !found->is_string() ||
        found->get_ref<std::string const&>().empty())
    {
        problem = std::string(name) + ": must be a non-empty string";
        return {};
    }
    return found->get<std::string>();
}

bool is_loopback(std::string const& address)
{
    auto const parsed = settings::parse_endpoint(address);
    return parsed && (parsed.value().host.starts_with("127.") ||
                      parsed.value().host == "::1");
}

result<upstream_announcement> read_announcement(std::string_view text)
{
    auto const parsed = codec::parse_json(text);
    if (!parsed || !parsed.value().is_object())
    {
        return fail(errc::invalid_input, "the body is not a JSON object");
    }
    json const& body = parsed.value();
    std::string problem;
    upstream_announcement parsed_announcement;
    parsed_announcement.cold_start = std::chrono::milliseconds(
        body.contains("cold_start_ms")
            ? read_integer(body, "cold_start_ms", 0, problem)
            : 0);
    parsed_announcement.connections =
        read_integer(body, "connections", 1, problem);
    parsed_announcement.slots = read_integer(body, "slots", 1, problem);
    parsed_announcement.address = read_string(body, "address", problem);
    if (problem.empty() && !is_loopback(parsed_announcement.address))
    {
        problem = "address: must be IP:PORT on loopback";
    }
    parsed_announcement.service = read_string(body, "service", problem);
    if (problem.empty() &&
        parsed_announcement.service.size() > max_service_bytes)
    {
        problem = "service: must have at most 255 bytes";
    }
    if (!problem.empty())
    {
        return fail(errc::invalid_input, problem);
    }
    return parsed_announcement;
}

json to_json(answer_operator const& answered)
{
    return {{"status", answered.status},
            {"message", answered.message},
            {"columns", answered.table.columns},
            {"rows", answered.table.rows}};
}

} // namespace

local_api::local_api(services required)
    : dependencies(std::move(required)),
      pending_commands(this->dependencies.tasks.executor())
{
}

asio::awaitable<std::optional<local_answer>>
local_api::answer(incoming_request const& request)
{
    bool const is_node_request = request.target.starts_with(path_prefix) ||
                                 request.target == "/metrics" ||
                                 request.target == "/healthz";
    if (!is_node_request)
    {
        co_return std::nullopt;
    }
    auto answered = co_await this->route(request);
    if (answered.status == bad_request)
    {
        this->dependencies.driver_metrics.add({"input_refused_total",
                                               "listener",
                                               "local",
                                               "reason",
                                               "bad-local-request"});
    }
    co_return answered;
}

asio::awaitable<local_answer> local_api::route(incoming_request const& request)
{
    auto const& target = request.target;
    bool const is_get_method =
        request.method == "GET" || request.method == "HEAD";
    bool const is_get_target = target == "/metrics" || target == "/healthz";
    if (is_get_target != is_get_method)
    {
        co_return problem_answer(is_get_target ? method_not_allowed : not_found,
                                 "unsupported method for this target: " +
                                     request.method);
    }
    if (target == "/metrics")
    {
        co_return this->metrics_text();
    }
    if (target == "/healthz")
    {
        co_return json_answer({{"healthy", true}});
    }
    if (target == "/plantaintally/v1/announce")
    {
        co_return this->announce(request);
    }
    if (target == "/plantaintally/v1/drain")
    {
        this->dependencies.submit_event(upstream_drain_requested{});
        co_return accepted();
    }
    if (target == "/plantaintally/v1/gone")
    {
        this->announced.reset();
        this->dependencies.submit_event(upstream_gone{});
        co_return accepted();
    }
    if (target == "/plantaintally/v1/command")
    {
        co_return co_await this->command(request);
    }
    co_return problem_answer(not_found, "unknown target");
}

local_answer local_api::announce(incoming_request const& request)
{
    auto parsed_announcement = read_announcement(request.body);
    if (!parsed_announcement)
    {
        return problem_answer(bad_request, parsed_announcement.error().message);
    }
    this->announced = parsed_announcement.value();
    this->dependencies.submit_event(
        upstream_announced{std::move(parsed_announcement.value())});
    return accepted();
}

asio::awaitable<local_answer>
local_api::command(incoming_request const& request)
{
    auto const parsed = codec::parse_json(request.body);
    std::string problem;
    std::string text;
    if (!parsed || !parsed.value().is_object())
    {
        problem = "the body is not a JSON object";
    }
    else
    {
        text = read_string(parsed.value(), "text", problem);
    }
    if (text.size() > max_command_bytes)
    {
        problem = "text: must have at most 65536 bytes";
    }
    if (!problem.empty())
    {
        co_return problem_answer(bad_request, problem);
    }
    command_id const id{++this->last_command_id};
    this->pending_commands.open(id);
    this->dependencies.submit_event(operator_command{id, std::move(text)});
    auto const answered = co_await this->pending_commands.wait(
        id, this->dependencies.command_timeout);
    if (!answered)
    {
        co_return problem_answer(gateway_timeout,
                                 "the command was not answered in time; a "
                                 "change may have been made");
    }
    co_return json_answer(to_json(*answered));
}

void local_api::answer_command(answer_operator const& answered)
{
    this->pending_commands.resolve(answered.command, answered);
}

std::optional<upstream_announcement> const& local_api::announcement() const
{
    return this->announced;
}

local_answer local_api::metrics_text()
{
    return {200,
            "text/plain; version=0.0.4; charset=utf-8",
            metrics::write_metrics(this->dependencies.collect_metrics())};
}

} // namespace plantaintally::drivers
