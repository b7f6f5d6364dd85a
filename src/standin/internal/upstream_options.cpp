#include "standin/upstream_options.hpp"

#include <nlohmann/json.hpp>

namespace plantaintally::standin
{

using json = nlohmann::json;

namespace
{

downstream_call parse_call(json const& object)
{
    return {object.at("service").get<std::string>(),
            object.value("method", std::string("GET")),
            object.at("path").get<std::string>()};
}

upstream_route parse_route(json const& object)
{
    upstream_route route;
    route.method = object.value("method", std::string("GET"));
    route.path = object.at("path").get<std::string>();
    route.service_ms = object.value("service_ms", route.service_ms);
    route.spread = object.value("spread", route.spread);
    route.answer_bytes = object.value("answer_bytes", route.answer_bytes);
    route.has_effect = object.value("effect", route.has_effect);
    for (auto const& call : object.value("calls", json::array()))
    {
        route.calls.push_back(parse_call(call));
    }
    return route;
}

} // namespace

result<std::vector<upstream_route>> parse_routes(std::string_view text)
{
    try
    {
        std::vector<upstream_route> routes;
        for (auto const& route : json::parse(text))
        {
            routes.push_back(parse_route(route));
        }
        return routes;
    }
    catch (json::exception const& failure)
    {
        return fail(errc::invalid_input, failure.what());
    }
}

} // namespace plantaintally::standin
