// Builders of the rules for the common value types.
#pragma once

#include "settings/internal/setting_rules.hpp"

#include <array>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace plantaintally::settings
{

// Range of an integer, both ends included.
struct range
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;
};

inline std::string range_text(range allowed, std::string_view unit)
{
    return "a whole number from " + std::to_string(allowed.low) + " to " +
           std::to_string(allowed.high) + std::string(unit);
}

// Parses an integer into `parsed`. Returns the problem, or an empty text on
// success.
inline std::string
parse_integer(std::string_view text, range allowed, std::uint64_t& parsed)
{
    auto const* const end = text.data() + text.size();
    std::uint64_t value = 0;
    auto const [stopped, problem] = std::from_chars(text.data(), end, value);
    bool const is_too_large = problem == std::errc::result_out_of_range;
    if (!is_too_large && (problem != std::errc() || stopped != end))
    {
        return "'" + std::string(text) + "' is not a whole number";
    }
    if (is_too_large || value < allowed.low || value > allowed.high)
    {
        return std::string(text) + " is out of range";
    }
    parsed = value;
    return {};
}

// A rule for an integer. Here and below, `accessor` returns a reference to the
// field of a node_settings.
template <class Accessor>
setting_rule integer_rule(std::string section,
                          std::string key,
                          range allowed,
                          Accessor accessor)
{
    auto assign =
        [allowed, accessor](node_settings& target, std::string_view text)
    {
        std::uint64_t value = 0;
        auto problem = parse_integer(text, allowed, value);
        if (problem.empty())
        {
            auto& field = accessor(target);
            field =
                static_cast<std::remove_reference_t<decltype(field)>>(value);
        }
        return problem;
    };
    return {std::move(section),
            std::move(key),
            range_text(allowed, ""),
            false,
            assign};
}

// A rule for a duration in milliseconds; its key ends in _ms.
template <class Accessor>
setting_rule milliseconds_rule(std::string section,
                               std::string key,
                               range allowed,
                               Accessor accessor)
{
    auto assign =
        [allowed, accessor](node_settings& target, std::string_view text)
    {
        std::uint64_t value = 0;
        auto problem = parse_integer(text, allowed, value);
        if (problem.empty())
        {
            accessor(target) = milliseconds(value);
        }
        return problem;
    };
    return {std::move(section),
            std::move(key),
            range_text(allowed, " (milliseconds)"),
            false,
            assign};
}

// A rule for a required IP:PORT address.
template <class Accessor>
setting_rule endpoint_rule(std::string section,
                           std::string key,
                           std::string_view allowed,
                           Accessor accessor)
{
    auto assign = [accessor](node_settings& target, std::string_view text)
    {
        auto parsed = parse_endpoint(text);
        if (!parsed)
        {
            return "'" + std::string(text) + "': " + parsed.error().message;
        }
        accessor(target) = std::move(parsed.value());
        return std::string();
    };
    return {
        std::move(section), std::move(key), std::string(allowed), true, assign};
}

// A rule for an optional IP:PORT address.
template <class Accessor>
setting_rule optional_endpoint_rule(std::string section,
                                    std::string key,
                                    std::string_view allowed,
                                    Accessor accessor)
{
    auto assign = [accessor](node_settings& target, std::string_view text)
    {
        if (text.empty())
        {
            return std::string();
        }
        auto parsed = parse_endpoint(text);
        if (!parsed)
        {
            return "'" + std::string(text) + "': " + parsed.error().message;
        }
        accessor(target) = std::move(parsed.value());
        return std::string();
    };
    return {std::move(section),
            std::move(key),
            std::string(allowed) + ", or empty",
            false,
            assign};
}

// A rule for a decimal number from zero to `highest`.
template <class Accessor>
setting_rule decimal_rule(std::string section,
                          std::string key,
                          double highest,
                          Accessor accessor)
{
    auto assign =
        [highest, accessor](node_settings& target, std::string_view text)
    {
        double value = 0;
        auto const* const end = text.data() + text.size();
        auto const [stopped, problem] =
            std::from_chars(text.data(), end, value);
        if (problem != std::errc() || stopped != end)
        {
            return "'" + std::string(text) + "' is not a number";
        }
        if (!(value >= 0 && value <= highest))
        {
            return std::string(text) + " is out of range";
        }
        accessor(target) = value;
        return std::string();
    };
    return {std::move(section),
            std::move(key),
            "a number from 0 to " + std::to_string(highest),
            false,
            assign};
}

// A rule for one of several words; `set` gets the index of the word.
template <std::size_t N, class Setter>
setting_rule choice_rule(std::string section,
                         std::string key,
                         std::array<std::string_view, N> words,
                         Setter set)
{
    std::string allowed;
    for (auto const& choice : words)
    {
        allowed += (allowed.empty() ? "" : ", ") + std::string(choice);
    }
    auto assign = [words, set](node_settings& target, std::string_view text)
    {
        for (std::size_t index = 0; index < N; ++index)
        {
            if (words.at(index) == text)
            {
                set(target, index);
                return std::string();
            }
        }
        return "unknown value '" + std::string(text) + "'";
    };
    return {std::move(section), std::move(key), allowed, false, assign};
}

template <class Accessor>
setting_rule path_rule(std::string section, std::string key, Accessor accessor)
{
    auto assign = [accessor](node_settings& target, std::string_view text)
    {
        accessor(target) = std::string(text);
        return std::string();
    };
    return {std::move(section),
            std::move(key),
            "a file name, or empty",
            false,
            assign};
}

} // namespace plantaintally::settings
