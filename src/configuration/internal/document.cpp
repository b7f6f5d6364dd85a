#include "configuration/configuration.hpp"

#include <algorithm>
#include <tuple>

namespace plantaintally::configuration
{

namespace
{

bool matches(match_rule const& rule,
             std::string_view service,
             std::string_view method,
             std::string_view path)
{
    bool const is_service_match =
        rule.service.empty() || rule.service == service;
    bool const is_method_match = rule.method.empty() || rule.method == method;
    return is_service_match && is_method_match &&
           path.starts_with(rule.path_prefix);
}

// Orders rules by how specific they are: service, path prefix, method.
auto specificity_of(match_rule const& rule)
{
    return std::make_tuple(
        !rule.service.empty(), rule.path_prefix.size(), !rule.method.empty());
}

rank_definition const& fallback_rank(document const& content)
{
    if (rank_definition const* rank = find_rank(content, default_rank_name))
    {
        return *rank;
    }
    auto const least =
        std::min_element(content.ranks.begin(),
                         content.ranks.end(),
                         [](auto const& left, auto const& right)
                         { return left.urgency < right.urgency; });
    static document const built_in = default_document();
    return least == content.ranks.end() ? built_in.ranks.front() : *least;
}

} // namespace

document default_document()
{
    document content;
    rank_definition rank;
    rank.name = default_rank_name;
    content.ranks.push_back(rank);
    return content;
}

rank_definition const* find_rank(document const& content, std::string_view name)
{
    auto const found = std::find_if(content.ranks.begin(),
                                    content.ranks.end(),
                                    [name](rank_definition const& rank)
                                    { return rank.name == name; });
    return found == content.ranks.end() ? nullptr : &*found;
}

rank_definition const& classify(document const& content,
                                std::string_view service,
                                std::string_view method,
                                std::string_view path)
{
    match_rule const* best = nullptr;
    for (match_rule const& rule : content.rules)
    {
        bool const is_better =
            matches(rule, service, method, path) &&
            (best == nullptr || specificity_of(rule) > specificity_of(*best));
        if (is_better)
        {
            best = &rule;
        }
    }
    if (best != nullptr)
    {
        if (rank_definition const* rank = find_rank(content, best->rank))
        {
            return *rank;
        }
    }
    return fallback_rank(content);
}

} // namespace plantaintally::configuration
