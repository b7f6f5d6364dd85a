#include "standin/caller_plan.hpp"

#include <nlohmann/json.hpp>

namespace plantaintally::standin
{

using json = nlohmann::json;

namespace
{

request_class parse_class(json const& object)
{
    request_class parsed;
    parsed.name = object.at("name").get<std::string>();
    parsed.service = object.at("service").get<std::string>();
    parsed.method = object.value("method", parsed.method);
    parsed.path = object.at("path").get<std::string>();
    parsed.body_bytes = object.value("body_bytes", parsed.body_bytes);
    parsed.is_keyed = object.value("keyed", parsed.is_keyed);
    parsed.deadline_ms = object.value("deadline_ms", parsed.deadline_ms);
    parsed.timeout_ms = object.value("timeout_ms", parsed.timeout_ms);
    return parsed;
}

traffic_phase parse_phase(json const& object)
{
    return {object.value("name", std::string("load")),
            object.at("seconds").get<double>(),
            object.at("rates").get<std::map<std::string, double>>()};
}

retry_plan parse_retry(json const& object)
{
    retry_plan parsed;
    parsed.limit = object.value("limit", parsed.limit);
    parsed.backoff_ms = object.value("backoff_ms", parsed.backoff_ms);
    parsed.keeps_key = object.value("keeps_key", parsed.keeps_key);
    parsed.changes_entrance =
        object.value("changes_entrance", parsed.changes_entrance);
    return parsed;
}

} // namespace

result<caller_plan> parse_caller_plan(std::string_view text)
{
    try
    {
        auto const plan = json::parse(text);
        caller_plan parsed;
        parsed.seed = plan.value("seed", parsed.seed);
        parsed.latency_ms = plan.value("latency_ms", parsed.latency_ms);
        parsed.entrances = plan.at("entrances").get<std::vector<std::string>>();
        for (auto const& entry : plan.at("classes"))
        {
            parsed.classes.push_back(parse_class(entry));
        }
        for (auto const& phase : plan.at("phases"))
        {
            parsed.phases.push_back(parse_phase(phase));
        }
        parsed.retry = parse_retry(plan.value("retry", json::object()));
        parsed.in_flight_limit =
            plan.value("in_flight_limit", parsed.in_flight_limit);
        if (parsed.entrances.empty())
        {
            return fail(errc::invalid_input, "\"entrances\" must not be empty");
        }
        return parsed;
    }
    catch (json::exception const& failure)
    {
        return fail(errc::invalid_input, failure.what());
    }
}

} // namespace plantaintally::standin
