// The keys of the settings file, their allowed values, and how they are stored.
#pragma once

#include "settings/settings.hpp"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace plantaintally::settings
{

// A key of the settings file: its allowed values and how to assign them.
struct setting_rule
{
    std::string section;
    std::string key;
    // Description of the allowed values; error messages end in
    // "allowed: " and this text.
    std::string allowed;
    bool is_required = false;
    // Validates and assigns the value. Returns the problem, or an empty text
    // on success.
    std::function<std::string(node_settings&, std::string_view)> assign;
};

// Every key, in the order of the documentation.
std::span<setting_rule const> setting_rules();

} // namespace plantaintally::settings
