#include "settings/settings.hpp"

#include "settings/internal/ini_file.hpp"
#include "settings/internal/setting_rules.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace plantaintally::settings
{

namespace
{

constexpr std::size_t max_file_bytes = 1U << 20U;

// Formats "file:line: subject: problem; allowed: ...".
std::string format_error(std::string_view file_name,
                         std::size_t line,
                         std::string_view subject,
                         std::string_view problem,
                         std::string_view allowed)
{
    std::string text(file_name);
    text += ":" + std::to_string(line) + ": ";
    text += subject;
    text += ": ";
    text += problem;
    text += "; allowed: ";
    text += allowed;
    return text;
}

std::string section_list()
{
    std::string list;
    std::string_view last;
    for (auto const& rule : setting_rules())
    {
        if (rule.section != last)
        {
            list += (list.empty() ? "" : ", ") + rule.section;
        }
        last = rule.section;
    }
    return list;
}

std::string key_list(std::string_view section)
{
    std::string list;
    for (auto const& rule : setting_rules())
    {
        if (rule.section == section)
        {
            list += (list.empty() ? "" : ", ") + rule.key;
        }
    }
    return list;
}

std::string qualified_key(std::string_view section, std::string_view key)
{
    return std::string(section) + "." + std::string(key);
}

setting_rule const* find_rule(ini_entry const& entry)
{
    auto const rules = setting_rules();
    auto const found = std::find_if(rules.begin(),
                                    rules.end(),
                                    [&](setting_rule const& rule) {
                                        return rule.section == entry.section &&
                                               rule.key == entry.key;
                                    });
    return found == rules.end() ? nullptr : &*found;
}

// Returns an error message for the first unknown or duplicate section heading,
// or an empty text.
std::string check_headings(ini_file const& file, std::string_view file_name)
{
    std::set<std::string_view> seen_sections;
    for (auto const& heading : file.headings)
    {
        std::string problem;
        if (key_list(heading.section).empty())
        {
            problem = "unknown section";
        }
        else if (!seen_sections.insert(heading.section).second)
        {
            problem = "duplicate section";
        }
        if (!problem.empty())
        {
            return format_error(file_name,
                                heading.line_number,
                                heading.section,
                                problem,
                                section_list() + ", each once");
        }
    }
    return {};
}

// Assigns one entry to the settings. Returns an error message, or an empty text
// on success.
std::string assign_entry(node_settings& target,
                         ini_entry const& entry,
                         std::set<std::string>& seen_keys,
                         std::string_view file_name)
{
    auto const name = qualified_key(entry.section, entry.key);
    auto const* const rule = find_rule(entry);
    if (rule == nullptr)
    {
        return format_error(file_name,
                            entry.line_number,
                            name,
                            "unknown key",
                            key_list(entry.section));
    }
    if (!seen_keys.insert(name).second)
    {
        return format_error(
            file_name, entry.line_number, name, "duplicate key", rule->allowed);
    }
    auto const problem = rule->assign(target, entry.value);
    if (!problem.empty())
    {
        return format_error(
            file_name, entry.line_number, name, problem, rule->allowed);
    }
    return {};
}

std::size_t heading_line(ini_file const& file, std::string_view section)
{
    for (auto const& heading : file.headings)
    {
        if (heading.section == section)
        {
            return heading.line_number;
        }
    }
    return 0;
}

// Returns an error message for the first missing required key, or an empty
// text. If the whole section is missing, the message refers to line 1.
std::string check_required(ini_file const& file,
                           std::set<std::string> const& seen_keys,
                           std::string_view file_name)
{
    for (auto const& rule : setting_rules())
    {
        auto const name = qualified_key(rule.section, rule.key);
        if (!rule.is_required || seen_keys.contains(name))
        {
            continue;
        }
        auto const line = heading_line(file, rule.section);
        auto const problem = line == 0
                                 ? "missing section [" + rule.section + "]"
                                 : std::string("missing key");
        return format_error(file_name,
                            std::max<std::size_t>(line, 1),
                            name,
                            problem,
                            rule.allowed);
    }
    return {};
}

// An address that this process listens on, and the key that configures it.
struct listening_address
{
    std::string key;
    endpoint address;
};

std::vector<listening_address>
listening_addresses(node_settings const& configured)
{
    auto const& node = configured.node;
    endpoint control_address = node.peer_address;
    ++control_address.port;
    std::vector<listening_address> used{
        {"node.peer_address", node.peer_address},
        {"node.peer_address", control_address},
        {"node.caller_address", node.caller_address},
        {"node.local_address", node.local_address}};
    auto const& edge = configured.edge;
    auto const add_edge =
        [&](std::string key, std::optional<endpoint> const& address)
    {
        if (address)
        {
            used.push_back({std::move(key), *address});
        }
    };
    add_edge("edge.report_address", edge.report_address);
    add_edge("edge.ready_address", edge.ready_address);
    add_edge("edge.metrics_address", edge.metrics_address);
    return used;
}

// Returns an error message if two listeners can't be open at the same time, or
// an empty text.
std::string check_listeners(ini_file const& file,
                            node_settings const& target,
                            std::string_view file_name)
{
    auto const used = listening_addresses(target);
    for (auto later = used.begin(); later != used.end(); ++later)
    {
        auto const earlier =
            std::find_if(used.begin(),
                         later,
                         [&](listening_address const& each)
                         { return overlaps(each.address, later->address); });
        if (earlier == later)
        {
            continue;
        }
        auto const section = later->key.substr(0, later->key.find('.'));
        return format_error(file_name,
                            heading_line(file, section),
                            later->key,
                            "port " + std::to_string(later->address.port) +
                                " is already used by " + earlier->key,
                            "a port that no other listener uses at the same "
                            "IP address; peer_address also uses the next "
                            "higher port, for control messages");
    }
    return {};
}

// Derives the limit of a planned stop from the termination grace, or checks
// that the given limit ends before it. Returns an error message or an empty
// text.
std::string settle_stop_limit(ini_file const& file,
                              std::set<std::string> const& seen_keys,
                              node_settings& target,
                              std::string_view file_name)
{
    if (target.node.termination_grace_s == 0)
    {
        return {};
    }
    auto const grace = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(target.node.termination_grace_s));
    auto const latest = std::max(grace - exit_time, milliseconds(0));
    auto const name = qualified_key("node", "stop_limit_ms");
    if (!seen_keys.contains(name))
    {
        target.node.stop_limit = latest;
        return {};
    }
    if (target.node.stop_limit <= latest)
    {
        return {};
    }
    return format_error(file_name,
                        heading_line(file, "node"),
                        name,
                        std::to_string(target.node.stop_limit.count()) +
                            " ends too late for termination_grace_s",
                        "at most " + std::to_string(latest.count()) + ", " +
                            std::to_string(exit_time.count()) +
                            " less than the termination grace");
}

} // namespace

result<node_settings> parse_settings(std::string_view text,
                                     std::string_view file_name)
{
    auto const scanned = scan_ini(text, file_name);
    if (!scanned)
    {
        return scanned.error();
    }
    ini_file const& file = scanned.value();
    node_settings target;
    std::set<std::string> seen_keys;
    auto problem = check_headings(file, file_name);
    for (auto const& entry : file.entries)
    {
        if (problem.empty())
        {
            problem = assign_entry(target, entry, seen_keys, file_name);
        }
    }
    if (problem.empty())
    {
        problem = check_required(file, seen_keys, file_name);
    }
    if (problem.empty())
    {
        problem = check_listeners(file, target, file_name);
    }
    if (problem.empty())
    {
        problem = settle_stop_limit(file, seen_keys, target, file_name);
    }
    if (!problem.empty())
    {
        return fail(errc::invalid_input, problem);
    }
    for (auto const& entry : file.entries)
    {
        target.raw_values[qualified_key(entry.section, entry.key)] =
            std::string(entry.value);
    }
    return target;
}

std::string changed_keys(node_settings const& before,
                         node_settings const& after)
{
    std::string list;
    for (std::string const& name : known_keys())
    {
        auto const old_value = before.raw_values.find(name);
        auto const new_value = after.raw_values.find(name);
        bool const was_set = old_value != before.raw_values.end();
        bool const is_set = new_value != after.raw_values.end();
        bool const is_same =
            was_set == is_set &&
            (!is_set || old_value->second == new_value->second);
        if (!is_same)
        {
            list += (list.empty() ? "" : ",") + name;
        }
    }
    return list;
}

result<node_settings> load_settings(std::string const& file_name)
{
    std::ifstream input(file_name, std::ios::binary);
    if (!input)
    {
        return fail(errc::not_found,
                    file_name + ":1: settings: the file can't be read; "
                                "allowed: a readable INI file");
    }
    std::string text(std::istreambuf_iterator<char>(input), {});
    if (text.size() > max_file_bytes)
    {
        return fail(errc::too_large,
                    file_name + ":1: settings: the file is too large; "
                                "allowed: up to 1 MiB");
    }
    return parse_settings(text, file_name);
}

std::vector<std::string> known_keys()
{
    std::vector<std::string> names;
    for (auto const& rule : setting_rules())
    {
        names.push_back(qualified_key(rule.section, rule.key));
    }
    return names;
}

} // namespace plantaintally::settings
