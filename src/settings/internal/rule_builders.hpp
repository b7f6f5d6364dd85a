// Builders of the rules for the common kinds of settings.
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

// Range of a number, both ends included.
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

inline std::string
read_number(std::string_view text, range allowed, std::uint64_t& to)
{
    auto const* const end = text.data() + text.size();
    std::uint64_t value = 0;
    auto const [stopped, problem] = std::from_chars(text.data(), end, value);
    bool const is_too_large = problem == std::errc::result_out_of_range;
    if (!is_too_large && (problem != std::errc() || stopped != end))
    {
        return "'" + std::string(text) + "' is no whole number";
    }
    if (is_too_large || value < allowed.low || value > allowed.high)
    {
        return std::string(text) + " is out of range";
    }
    to = value;
    return {};
}

// A rule for a plain number; `at` finds its field.
template <class Field>
setting_rule
number(std::string section, std::string key, range allowed, Field at)
{
    auto assign = [allowed, at](node_settings& target, std::string_view text)
    {
        std::uint64_t value = 0;
        auto problem = read_number(text, allowed, value);
        if (problem.empty())
        {
            auto& field = at(target);
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

// A rule for a span of time in milliseconds; its key ends in _ms.
template <class Field>
setting_rule time(std::string section, std::string key, range allowed, Field at)
{
    auto assign = [allowed, at](node_settings& target, std::string_view text)
    {
        std::uint64_t value = 0;
        auto problem = read_number(text, allowed, value);
        if (problem.empty())
        {
            at(target) = milliseconds(value);
        }
        return problem;
    };
    return {std::move(section),
            std::move(key),
            range_text(allowed, " (milliseconds)"),
            false,
            assign};
}

template <class Field>
setting_rule address(std::string section,
                     std::string key,
                     std::string_view allowed,
                     Field at)
{
    auto assign = [at](node_settings& target, std::string_view text)
    {
        auto parsed = parse_endpoint(text);
        if (!parsed)
        {
            return "'" + std::string(text) + "': " + parsed.error().message;
        }
        at(target) = std::move(parsed.value());
        return std::string();
    };
    return {
        std::move(section), std::move(key), std::string(allowed), true, assign};
}

// A rule for an address that may be left out.
template <class Field>
setting_rule optional_address(std::string section,
                              std::string key,
                              std::string_view allowed,
                              Field at)
{
    auto assign = [at](node_settings& target, std::string_view text)
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
        at(target) = std::move(parsed.value());
        return std::string();
    };
    return {std::move(section),
            std::move(key),
            std::string(allowed) + ", or nothing",
            false,
            assign};
}

// A rule for a number that may have a fraction, from zero to `highest`.
template <class Field>
setting_rule
decimal(std::string section, std::string key, double highest, Field at)
{
    auto assign = [highest, at](node_settings& target, std::string_view text)
    {
        double value = 0;
        auto const* const end = text.data() + text.size();
        auto const [stopped, problem] =
            std::from_chars(text.data(), end, value);
        if (problem != std::errc() || stopped != end)
        {
            return "'" + std::string(text) + "' is no number";
        }
        if (!(value >= 0 && value <= highest))
        {
            return std::string(text) + " is out of range";
        }
        at(target) = value;
        return std::string();
    };
    return {std::move(section),
            std::move(key),
            "a number from 0 to " + std::to_string(highest),
            false,
            assign};
}

// A rule for one of several words; the word's index is the value.
template <std::size_t N, class Set>
setting_rule word(std::string section,
                  std::string key,
                  std::array<std::string_view, N> words,
                  Set set)
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

template <class Field>
setting_rule path(std::string section, std::string key, Field at)
{
    auto assign = [at](node_settings& target, std::string_view text)
    {
        at(target) = std::string(text);
        return std::string();
    };
    return {std::move(section),
            std::move(key),
            "the name of a file, or nothing",
            false,
            assign};
}

} // namespace plantaintally::settings
