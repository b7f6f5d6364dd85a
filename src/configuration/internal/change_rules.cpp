#include "configuration/internal/change_rules.hpp"

#include "base/hash.hpp"
#include "configuration/configuration.hpp"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>

namespace plantaintally::configuration
{

namespace
{

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_path_bytes = 512;
constexpr std::size_t max_ranks = 64;
constexpr std::size_t max_rules = 4096;
constexpr std::size_t max_drained_nodes = 16'384;
constexpr std::size_t max_text_bytes = 256;
// Number of newest records that keep the command's text. Older ones keep only
// what is needed to recognise a repeat and to detect a conflict.
constexpr std::size_t max_records_with_text = 32;
constexpr std::uint32_t max_urgency = 1000;
constexpr std::uint32_t max_worth = 1000;
constexpr std::uint32_t max_attempt_budget = 10;
constexpr duration min_deadline = std::chrono::milliseconds(1);
constexpr duration max_deadline = std::chrono::minutes(10);
constexpr std::string_view permanent_rank_name = "default";

auto invalid(std::string message)
{
    return fail(errc::invalid_input, std::move(message));
}

std::string in_quotes(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

bool is_name_character(char character)
{
    auto const code = static_cast<unsigned char>(character);
    return std::isalnum(code) != 0 || character == '-' || character == '_' ||
           character == '.';
}

result<void> check_name(std::string_view kind, std::string_view name)
{
    if (name.empty() || name.size() > max_name_bytes ||
        !std::all_of(name.begin(), name.end(), is_name_character))
    {
        return invalid("the " + std::string(kind) + " name " + in_quotes(name) +
                       " must have 1 to " + std::to_string(max_name_bytes) +
                       " letters, digits, '-', '_' or '.'");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> check_range(std::string_view field,
                         std::uint64_t value,
                         std::uint64_t low,
                         std::uint64_t high)
{
    if (value < low || value > high)
    {
        return invalid(std::string(field) + " " + std::to_string(value) +
                       " is outside " + std::to_string(low) + " to " +
                       std::to_string(high));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> check_rank(rank_definition const& rank)
{
    BOOST_OUTCOME_TRY(check_name("rank", rank.name));
    BOOST_OUTCOME_TRY(check_range("urgency", rank.urgency, 0, max_urgency));
    BOOST_OUTCOME_TRY(check_range("worth", rank.worth, 1, max_worth));
    BOOST_OUTCOME_TRY(check_range(
        "attempt budget", rank.attempt_budget, 1, max_attempt_budget));
    if (rank.deadline < min_deadline || rank.deadline > max_deadline)
    {
        return invalid("the deadline of rank " + in_quotes(rank.name) +
                       " must be from 1 ms to 10 min");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> check_rule(document const& content, match_rule const& rule)
{
    BOOST_OUTCOME_TRY(check_name("rule", rule.name));
    if (!rule.service.empty())
    {
        BOOST_OUTCOME_TRY(check_name("service", rule.service));
    }
    if (!rule.method.empty())
    {
        BOOST_OUTCOME_TRY(check_name("method", rule.method));
    }
    if (rule.path_prefix.size() > max_path_bytes)
    {
        return invalid("the path prefix of rule " + in_quotes(rule.name) +
                       " is longer than " + std::to_string(max_path_bytes) +
                       " bytes");
    }
    if (!rule.path_prefix.empty() && rule.path_prefix.front() != '/')
    {
        return invalid("the path prefix of rule " + in_quotes(rule.name) +
                       " must begin with '/'");
    }
    if (find_rank(content, rule.rank) == nullptr)
    {
        return invalid("there is no rank " + in_quotes(rule.rank));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

auto find_rule(document& content, std::string_view name)
{
    return std::find_if(content.rules.begin(),
                        content.rules.end(),
                        [name](match_rule const& rule)
                        { return rule.name == name; });
}

auto find_drained_node(document& content, std::string_view address)
{
    return std::find(
        content.drained_nodes.begin(), content.drained_nodes.end(), address);
}

// Applies a change to its copy of the document.
struct change_applier
{
    document content;

    result<document> operator()(create_rank const& body)
    {
        BOOST_OUTCOME_TRY(check_rank(body.rank));
        if (find_rank(this->content, body.rank.name) != nullptr)
        {
            return invalid("there is already a rank " +
                           in_quotes(body.rank.name));
        }
        if (this->content.ranks.size() >= max_ranks)
        {
            return invalid("there are already " + std::to_string(max_ranks) +
                           " ranks");
        }
        this->content.ranks.push_back(body.rank);
        return std::move(this->content);
    }

    result<document> operator()(alter_rank const& body)
    {
        auto const found = std::find_if(this->content.ranks.begin(),
                                        this->content.ranks.end(),
                                        [&body](rank_definition const& rank)
                                        { return rank.name == body.name; });
        if (found == this->content.ranks.end())
        {
            return invalid("there is no rank " + in_quotes(body.name));
        }
        rank_definition altered = *found;
        altered.urgency = body.urgency.value_or(altered.urgency);
        altered.worth = body.worth.value_or(altered.worth);
        altered.attempt_budget =
            body.attempt_budget.value_or(altered.attempt_budget);
        altered.deadline = body.deadline.value_or(altered.deadline);
        altered.is_protected = body.is_protected.value_or(altered.is_protected);
        BOOST_OUTCOME_TRY(check_rank(altered));
        *found = altered;
        return std::move(this->content);
    }

    result<document> operator()(remove_rank const& body)
    {
        if (body.name == permanent_rank_name)
        {
            return invalid("the rank \"default\" can't be removed");
        }
        if (find_rank(this->content, body.name) == nullptr)
        {
            return invalid("there is no rank " + in_quotes(body.name));
        }
        for (match_rule const& rule : this->content.rules)
        {
            if (rule.rank == body.name)
            {
                return invalid("the rank " + in_quotes(body.name) +
                               " is in use by the rule " +
                               in_quotes(rule.name));
            }
        }
        std::erase_if(this->content.ranks,
                      [&body](rank_definition const& rank)
                      { return rank.name == body.name; });
        return std::move(this->content);
    }

    result<document> operator()(create_rule const& body)
    {
        BOOST_OUTCOME_TRY(check_rule(this->content, body.rule));
        if (find_rule(this->content, body.rule.name) !=
            this->content.rules.end())
        {
            return invalid("there is already a rule " +
                           in_quotes(body.rule.name));
        }
        if (this->content.rules.size() >= max_rules)
        {
            return invalid("there are already " + std::to_string(max_rules) +
                           " rules");
        }
        this->content.rules.push_back(body.rule);
        return std::move(this->content);
    }

    result<document> operator()(remove_rule const& body)
    {
        auto const found = find_rule(this->content, body.name);
        if (found == this->content.rules.end())
        {
            return invalid("there is no rule " + in_quotes(body.name));
        }
        this->content.rules.erase(found);
        return std::move(this->content);
    }

    result<document> operator()(drain_node const& body)
    {
        if (body.address.empty() || body.address.size() > max_path_bytes)
        {
            return invalid("the node address is empty or too long");
        }
        if (find_drained_node(this->content, body.address) !=
            this->content.drained_nodes.end())
        {
            return invalid("the node " + in_quotes(body.address) +
                           " is already drained");
        }
        if (this->content.drained_nodes.size() >= max_drained_nodes)
        {
            return invalid("the maximum number of drained nodes is reached");
        }
        this->content.drained_nodes.push_back(body.address);
        return std::move(this->content);
    }

    result<document> operator()(undrain_node const& body)
    {
        auto const found = find_drained_node(this->content, body.address);
        if (found == this->content.drained_nodes.end())
        {
            return invalid("the node " + in_quotes(body.address) +
                           " is not drained");
        }
        this->content.drained_nodes.erase(found);
        return std::move(this->content);
    }
};

struct object_namer
{
    std::string operator()(create_rank const& body) const
    {
        return "rank:" + body.rank.name;
    }
    std::string operator()(alter_rank const& body) const
    {
        return "rank:" + body.name;
    }
    std::string operator()(remove_rank const& body) const
    {
        return "rank:" + body.name;
    }
    std::string operator()(create_rule const& body) const
    {
        return "rule:" + body.rule.name;
    }
    std::string operator()(remove_rule const& body) const
    {
        return "rule:" + body.name;
    }
    std::string operator()(drain_node const& body) const
    {
        return "node:" + body.address;
    }
    std::string operator()(undrain_node const& body) const
    {
        return "node:" + body.address;
    }
};

} // namespace

std::string object_of(change_body const& body)
{
    return std::visit(object_namer{}, body);
}

result<document> apply_change(document const& content, change const& requested)
{
    return std::visit(change_applier{content}, requested.body);
}

result<void> check_commutes(document const& content,
                            std::uint64_t base_revision,
                            std::string_view object)
{
    if (content.revision <= base_revision)
    {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    // A full list may have dropped records of changes made after the base.
    bool const is_complete = content.changes.size() < max_change_records ||
                             content.changes.front().revision <= base_revision;
    if (!is_complete)
    {
        return fail(errc::conflict,
                    "revision " + std::to_string(base_revision) +
                        " is too old to check for conflicts; the newest "
                        "is " +
                        std::to_string(content.revision));
    }
    for (change_record const& record : content.changes)
    {
        if (record.revision > base_revision && record.object == object)
        {
            std::string const what =
                record.text.empty() ? "" : in_quotes(record.text) + ", ";
            return fail(errc::conflict,
                        std::string(object) + " was changed by revision " +
                            std::to_string(record.revision) + ", " + what +
                            "after revision " + std::to_string(base_revision));
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

change_record const* find_change(document const& content,
                                 std::string_view change_id)
{
    auto const found = std::find_if(content.changes.begin(),
                                    content.changes.end(),
                                    [change_id](change_record const& record)
                                    { return record.change_id == change_id; });
    return found == content.changes.end() ? nullptr : &*found;
}

result<document> make_successor(document const& content,
                                change const& requested)
{
    BOOST_OUTCOME_TRY(document successor, apply_change(content, requested));
    change_record added;
    added.change_id = requested.change_id;
    added.text = requested.text.substr(0, max_text_bytes);
    added.object = object_of(requested.body);
    successor.changes.push_back(std::move(added));
    if (successor.changes.size() > max_change_records)
    {
        successor.changes.erase(successor.changes.begin());
    }
    if (successor.changes.size() > max_records_with_text)
    {
        successor.changes[successor.changes.size() - max_records_with_text - 1]
            .text.clear();
    }
    return successor;
}

void set_revision(document& content, std::uint64_t revision)
{
    content.revision = revision;
    if (!content.changes.empty() && content.changes.back().revision == 0)
    {
        content.changes.back().revision = revision;
    }
}

std::uint64_t hash_document(document const& content)
{
    std::uint64_t hash = content.revision;
    auto const add = [&hash](std::string_view text)
    {
        hash = stable_hash(text, hash);
    };
    auto const add_number = [&add](std::uint64_t number)
    {
        add(std::to_string(number));
    };
    for (rank_definition const& rank : content.ranks)
    {
        add(rank.name);
        add_number(rank.urgency);
        add_number(rank.worth);
        add_number(rank.attempt_budget);
        add_number(static_cast<std::uint64_t>(rank.deadline.count()));
        add_number(rank.is_protected ? 1 : 0);
    }
    for (match_rule const& rule : content.rules)
    {
        add(rule.name);
        add(rule.service);
        add(rule.method);
        add(rule.path_prefix);
        add(rule.rank);
    }
    for (std::string const& address : content.drained_nodes)
    {
        add(address);
    }
    for (change_record const& record : content.changes)
    {
        add(record.change_id);
        add_number(record.revision);
    }
    return hash;
}

} // namespace plantaintally::configuration
