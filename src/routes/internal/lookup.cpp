#include "routes/routes.hpp"

namespace plantaintally::routes
{

namespace
{

split_credit& credit_of(state& routes, route_rule const& rule)
{
    auto found = routes.splits.find(rule.name);
    if (found == routes.splits.end())
    {
        found = routes.splits.emplace(rule.name, split_credit{}).first;
    }
    split_credit& credit = found->second;
    if (credit.version != routes.in_force.version ||
        credit.owed.size() != rule.targets.size())
    {
        credit.version = routes.in_force.version;
        credit.owed.assign(rule.targets.size(), 0.0);
    }
    return credit;
}

} // namespace

bool is_ready(state const& routes)
{
    return !routes.is_enabled || routes.is_ready;
}

route_rule const*
find_rule(state const& routes, std::string_view host, std::string_view path)
{
    auto const found = routes.by_host.find(host);
    if (found == routes.by_host.end())
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
    split_credit& credit = credit_of(routes, rule);
    double total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < rule.targets.size(); ++index)
    {
        total += rule.targets[index].weight;
        credit.owed[index] += rule.targets[index].weight;
        if (credit.owed[index] > credit.owed[best])
        {
            best = index;
        }
    }
    credit.owed[best] -= total;
    return rule.targets[best].service;
}

} // namespace plantaintally::routes
