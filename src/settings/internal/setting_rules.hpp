// What is allowed for every key of the settings file.
#pragma once

#include "settings/settings.hpp"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace plantaintally::settings
{

// One key: what may stand there, and where the value goes.
struct setting_rule
{
    std::string section;
    std::string key;
    // For people, after "allowed: ".
    std::string allowed;
    bool is_required = false;
    // Sets the value; gives what is wrong with it, empty if nothing is.
    std::function<std::string(node_settings&, std::string_view)> assign;
};

// Every key, in the order of the documentation.
std::span<setting_rule const> setting_rules();

} // namespace plantaintally::settings
