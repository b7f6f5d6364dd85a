#include "routes/routes.hpp"

#include <algorithm>

namespace plantaintally::routes
{

namespace
{

split_state& split_state_of(state& routes, route_rule const& rule)
{
    auto found = routes.split_states.find(rule.name);
    if (found == routes.split_states.end())
    {
        found = routes.split_states.emplace(rule.name, split_state{}).first;
    }
    split_state& split = found->second;
    if (split.version != routes.in_force.version ||
        split.current_weights.size() != rule.targets.size())
    {
        split.version = routes.in_force.version;
        split.current_weights.assign(rule.targets.size(), 0.0);
    }
    return split;
}

} // namespace

bool is_ready(state const& routes)
{
    return !routes.is_enabled || routes.is_ready;
}

route_rule const*
find_rule(state const& routes, std::string_view host, std::string_view path)
{
    auto const found = routes.rules_by_host.find(host);
    if (found == routes.rules_by_host.end())
    {
        return nullptr;
    }
    for (std::size_t const index : found->second)
    {
        route_rule const& rule = routes.in_force.rules[index];
        if (path.starts_with(rule.prefix))
        {
            return &rule;
        }
    }
    return nullptr;
}

std::string const& choose_service(state& routes, route_rule const& rule)
{
    if (rule.targets.size() == 1)
    {
        return rule.targets.front().service;
    }
    split_state& split = split_state_of(routes, rule);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < rule.targets.size(); ++index)
    {
        total += rule.targets[index].weight;
        split.current_weights[index] += rule.targets[index].weight;
        if (split.current_weights[index] > split.current_weights[best])
        {
            best = index;
        }
    }
    split.current_weights[best] -= total;
    return rule.targets[best].service;
}

std::string_view health_path(state const& routes, std::string_view service)
{
    auto const& services = routes.in_force.services;
    auto const found =
        std::ranges::find(services, service, &service_entry::name);
    return found == services.end() ? std::string_view() : found->health_path;
}

} // namespace plantaintally::routes
