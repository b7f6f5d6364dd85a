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
    bool const is_late = status == gateway_timeout;
    return {status,
            std::string(problem_media_type),
            write_problem(
                {status,
                 std::move(detail),
                 is_late ? refusal::deadline_passed : refusal::bad_request,
                 is_late ? verdict::may_have_run : verdict::not_run})};
}

local_answer json_answer(json const& body)
{
    return {200, "application/json", codec::write_json(body)};
}

local_answer accepted()
{
    return json_answer({{"status", "accepted"}});
}

// A whole number of the announcement; what is wrong goes to `problem`.
std::uint32_t read_count(json const& body,
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
        problem = std::string(name) + ": a whole number from " +
                  std::to_string(lowest) + " to " + std::to_string(highest) +
                  " is wanted";
        return 0;
    }
    return found->get<std::uint32_t>();
}

std::string read_text(json const& body, char const* name, std::string& problem)
{
    auto const found = body.find(name);
    if (found == body.end() || !found->is_string() ||
        found->get_ref<std::string const&>().empty())
    {
        problem = std::string(name) + ": a text is wanted";
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
        return fail(errc::invalid_input, "the body is no JSON object");
    }
    json const& body = parsed.value();
    std::string problem;
    upstream_announcement stated;
    stated.cold_start = std::chrono::milliseconds(
        body.contains("cold_start_ms")
            ? read_count(body, "cold_start_ms", 0, problem)
            : 0);
    stated.connections = read_count(body, "connections", 1, problem);
    stated.slots = read_count(body, "slots", 1, problem);
    stated.address = read_text(body, "address", problem);
    if (problem.empty() && !is_loopback(stated.address))
    {
        problem = "address: IP:PORT on loopback is wanted";
    }
    stated.service = read_text(body, "service", problem);
    if (problem.empty() && stated.service.size() > max_service_bytes)
    {
        problem = "service: at most 255 bytes are wanted";
    }
    if (!problem.empty())
    {
        return fail(errc::invalid_input, problem);
    }
    return stated;
}

json to_json(answer_operator const& answered)
{
    return {{"status", answered.status},
            {"message", answered.message},
            {"columns", answered.table.columns},
            {"rows", answered.table.rows}};
}

} // namespace

local_api::local_api(services wanted)
    : chosen(std::move(wanted)), commands(this->chosen.tasks.executor())
{
}

asio::awaitable<std::optional<local_answer>>
local_api::answer(incoming_request const& request)
{
    bool const is_own = request.target.starts_with(path_prefix) ||
                        request.target == "/metrics" ||
                        request.target == "/healthz";
    if (!is_own)
    {
        co_return std::nullopt;
    }
    auto answered = co_await this->route(request);
    if (answered.status == bad_request)
    {
        this->chosen.figures.add({"input_refused_total",
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
    bool const is_read = request.method == "GET" || request.method == "HEAD";
    bool const is_readable = target == "/metrics" || target == "/healthz";
    if (is_readable != is_read)
    {
        co_return problem_answer(is_readable ? method_not_allowed : not_found,
                                 "no such request: " + request.method);
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
        this->chosen.hand_in(upstream_drain_requested{});
        co_return accepted();
    }
    if (target == "/plantaintally/v1/gone")
    {
        this->announced.reset();
        this->chosen.hand_in(upstream_gone{});
        co_return accepted();
    }
    if (target == "/plantaintally/v1/command")
    {
        co_return co_await this->command(request);
    }
    co_return problem_answer(not_found, "no such request");
}

local_answer local_api::announce(incoming_request const& request)
{
    auto stated = read_announcement(request.body);
    if (!stated)
    {
        return problem_answer(bad_request, stated.error().message);
    }
    this->announced = stated.value();
    this->chosen.hand_in(upstream_announced{std::move(stated.value())});
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
        problem = "the body is no JSON object";
    }
    else
    {
        text = read_text(parsed.value(), "text", problem);
    }
    if (text.size() > max_command_bytes)
    {
        problem = "text: at most 65536 bytes are wanted";
    }
    if (!problem.empty())
    {
        co_return problem_answer(bad_request, problem);
    }
    command_id const id{++this->last_command};
    this->commands.open(id);
    this->chosen.hand_in(operator_command{id, std::move(text)});
    auto const answered =
        co_await this->commands.wait(id, this->chosen.command_timeout);
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
    this->commands.resolve(answered.command, answered);
}

std::optional<upstream_announcement> const& local_api::announcement() const
{
    return this->announced;
}

local_answer local_api::metrics_text()
{
    return {200,
            "text/plain; version=0.0.4; charset=utf-8",
            metrics::write_metrics(this->chosen.collect())};
}

} // namespace plantaintally::drivers
