#include "query/language.hpp"

#include "query/internal/parser_names.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace plantaintally::query
{

namespace
{

namespace x3 = boost::spirit::x3;
using namespace configuration;

// Tokens. Syntax errors state the names of their rules.

auto const word_character = x3::alnum | x3::char_("_.:/-");

auto keyword(char const* text)
{
    return x3::lexeme[x3::no_case[x3::lit(text)] >> !word_character];
}

auto const identifier_token = x3::lexeme[+word_character];
auto const quoted_token =
    x3::lexeme['"' >> *(x3::char_ - '"' - x3::eol) >> '"'];

auto const rank_name =
    x3::rule<struct rank_name_tag, std::string>{"a rank name"} =
        identifier_token | quoted_token;
auto const rule_name =
    x3::rule<struct rule_name_tag, std::string>{"a rule name"} =
        identifier_token | quoted_token;
auto const plain_value =
    x3::rule<struct plain_value_tag, std::string>{"a value"} =
        identifier_token | quoted_token;
auto const node_address = x3::rule<struct node_address_tag, std::string>{
    "a node address (host:port)"} = identifier_token;
auto const request_id =
    x3::rule<struct request_id_tag, std::string>{"a request id"} =
        identifier_token | quoted_token;
auto const number =
    x3::rule<struct number_tag, std::uint32_t>{"a whole number"} =
        x3::lexeme[x3::uint32 >> !word_character];
auto const revision_number =
    x3::rule<struct revision_tag, std::uint64_t>{"a revision number"} =
        x3::lexeme[x3::uint64 >> !word_character];

struct unit_symbols : x3::symbols<std::int64_t>
{
    unit_symbols()
    {
        this->add("us", 1)("ms", 1'000)("s", 1'000'000)("m", 60'000'000)(
            "h", 3'600'000'000);
    }
} const unit_symbol;

// Maximum span of time in a statement: 7 days.
constexpr std::int64_t max_span_us = 7LL * 24 * 3'600'000'000;

auto const set_span = [](auto& context)
{
    auto const& parts = x3::_attr(context);
    std::int64_t const amount = boost::fusion::at_c<0>(parts);
    std::int64_t const unit_us = boost::fusion::at_c<1>(parts);
    x3::_pass(context) = amount <= max_span_us / unit_us;
    x3::_val(context) = duration(amount * unit_us);
};

auto const time_span =
    x3::rule<struct time_span_tag, duration>{
        "a span of time (such as 500ms, 5s, 2m; at most 7 days)"} =
        x3::lexeme[x3::uint32 >> unit_symbol >> !word_character][set_span];

struct dimension_symbols : x3::symbols<dimension>
{
    dimension_symbols()
    {
        this->add("rank", dimension::rank)("service", dimension::service)(
            "upstream", dimension::upstream)(
            "zone", dimension::availability_zone)("caller", dimension::caller);
    }
} const dimension_symbol;

struct counter_symbols : x3::symbols<work_counter>
{
    counter_symbols()
    {
        this->add("admitted", work_counter::admitted)(
            "shed", work_counter::shed)("queued", work_counter::queued)(
            "retried", work_counter::retried)("refused", work_counter::refused);
    }
} const counter_symbol;

auto const dimension_name =
    x3::rule<struct dimension_tag, dimension>{
        "one of rank, service, upstream, zone, caller"} =
        x3::lexeme[x3::no_case[dimension_symbol] >> !word_character];
auto const counter_name =
    x3::rule<struct counter_tag, work_counter>{
        "one of admitted, shed, queued, retried, refused"} =
        x3::lexeme[x3::no_case[counter_symbol] >> !word_character];

// Semantic actions that set a member of the rule's attribute.

template <auto Member>
auto const assign = [](auto& context)
{
    x3::_val(context).*Member = x3::_attr(context);
};

template <auto Member>
auto const append_to = [](auto& context)
{
    (x3::_val(context).*Member).push_back(x3::_attr(context));
};

template <auto Outer, auto Member>
auto const assign_in = [](auto& context)
{
    (x3::_val(context).*Outer).*Member = x3::_attr(context);
};

template <bool Value>
auto const set_protected = [](auto& context)
{
    x3::_val(context).is_protected = Value;
};

template <bool Value>
auto const set_rank_protected = [](auto& context)
{
    x3::_val(context).rank.is_protected = Value;
};

// Queries.

auto const filter_rule =
    x3::rule<struct filter_tag, filter>{
        "a condition (such as service is duty-desk)"} =
        dimension_name[assign<&filter::column>] >
        keyword("is") > plain_value[assign<&filter::value>];

auto const work_clause =
    (keyword("by") > dimension_name[append_to<&show_work::grouping>] % ',') |
    (keyword("where") >
     filter_rule[append_to<&show_work::filters>] % keyword("and")) |
    (keyword("last") > time_span[assign<&show_work::last>]);

auto const work_rule =
    x3::rule<struct work_tag, show_work>{"a query about work"} =
        (keyword("work") |
         counter_name[append_to<&show_work::counters>] % ',') >>
        *work_clause;

auto const members_rule =
    x3::rule<struct members_tag, show_members>{"a query about members"} =
        keyword("members") >>
        -(keyword("where") >
          filter_rule[append_to<&show_members::filters>] % keyword("and"));

auto const timeline_rule =
    x3::rule<struct timeline_tag, show_timeline>{
        "a query about the time line"} =
        keyword("timeline") >>
        -(keyword("last") > time_span[assign<&show_timeline::last>]);

auto const why_rule =
    x3::rule<struct why_tag, why_request>{"why and a request id"} =
        keyword("why") > request_id[assign<&why_request::trace_id>];

auto const set_value = [](auto& context)
{
    x3::_val(context) = x3::_attr(context);
};

template <class Statement>
auto const set_empty = [](auto& context)
{
    x3::_val(context) = Statement{};
};

auto const show_target =
    x3::rule<struct show_target_tag, statement>{
        "one of work, admitted, shed, queued, retried, refused, ranks, rules, "
        "changes, configuration, members, timeline"} =
        work_rule[set_value] | members_rule[set_value] |
        timeline_rule[set_value] | keyword("ranks")[set_empty<show_ranks>] |
        keyword("rules")[set_empty<show_rules>] |
        keyword("changes")[set_empty<show_changes>] |
        keyword("configuration")[set_empty<show_configuration>];

// Changes.

auto const create_rank_rule = x3::rule<struct create_rank_tag,
                                       create_rank>{"a new rank"} =
    keyword("rank") >
    rank_name[assign_in<&create_rank::rank, &rank_definition::name>] >
    *((keyword("urgency") >
       number[assign_in<&create_rank::rank, &rank_definition::urgency>]) |
      (keyword("worth") >
       number[assign_in<&create_rank::rank, &rank_definition::worth>]) |
      (keyword("attempts") >
       number[assign_in<&create_rank::rank,
                        &rank_definition::attempt_budget>]) |
      (keyword("deadline") >
       time_span[assign_in<&create_rank::rank, &rank_definition::deadline>]) |
      keyword("protected")[set_rank_protected<true>] |
      keyword("unprotected")[set_rank_protected<false>]);

auto const create_rule_rule = x3::rule<struct create_rule_tag,
                                       create_rule>{"a new rule"} =
    keyword("rule") >
    rule_name[assign_in<&create_rule::rule, &match_rule::name>] >
    *((keyword("service") >
       plain_value[assign_in<&create_rule::rule, &match_rule::service>]) |
      (keyword("method") >
       plain_value[assign_in<&create_rule::rule, &match_rule::method>]) |
      (keyword("path") >
       plain_value[assign_in<&create_rule::rule, &match_rule::path_prefix>])) >
    keyword(
        "rank") > rank_name[assign_in<&create_rule::rule, &match_rule::rank>];

auto const
    alter_rank_rule = x3::rule<struct alter_rank_tag, alter_rank>{"rank"} =
        keyword("rank") > rank_name[assign<&alter_rank::name>] >
        +((keyword("urgency") > number[assign<&alter_rank::urgency>]) |
          (keyword("worth") > number[assign<&alter_rank::worth>]) |
          (keyword("attempts") > number[assign<&alter_rank::attempt_budget>]) |
          (keyword("deadline") > time_span[assign<&alter_rank::deadline>]) |
          keyword("protected")[set_protected<true>] |
          keyword("unprotected")[set_protected<false>]);

auto const remove_rank_rule =
    x3::rule<struct remove_rank_tag, remove_rank>{"a removed rank"} =
        keyword("rank") > rank_name[assign<&remove_rank::name>];

auto const remove_rule_rule =
    x3::rule<struct remove_rule_tag, remove_rule>{"a removed rule"} =
        keyword("rule") > rule_name[assign<&remove_rule::name>];

auto const drain_rule =
    x3::rule<struct drain_tag, drain_node>{"drain and a node address"} =
        keyword("drain") > node_address[assign<&drain_node::address>];

auto const undrain_rule =
    x3::rule<struct undrain_tag, undrain_node>{"undrain and a node address"} =
        keyword("undrain") > node_address[assign<&undrain_node::address>];

auto const set_body = [](auto& context)
{
    x3::_val(context).body = x3::_attr(context);
};

auto const create_target =
    x3::rule<struct create_target_tag, change>{"rank or rule"} =
        create_rank_rule[set_body] | create_rule_rule[set_body];
auto const remove_target =
    x3::rule<struct remove_target_tag, change>{"rank or rule"} =
        remove_rank_rule[set_body] | remove_rule_rule[set_body];

auto const change_rule = x3::rule<struct change_tag, change>{"a change"} =
    ((keyword("create") > create_target[set_value]) |
     (keyword("alter") > alter_rank_rule[set_body]) |
     (keyword("remove") > remove_target[set_value]) | drain_rule[set_body] |
     undrain_rule[set_body]) >>
    -(keyword("if") > keyword("revision") >
      revision_number[assign<&change::expected_revision>]) >>
    -(keyword("with") > keyword("id") >
      plain_value[assign<&change::change_id>]);

auto const any_statement =
    x3::rule<struct statement_tag, statement>{
        "show, why, create, alter, remove, drain, undrain or help"} =
        change_rule[set_value] | why_rule[set_value] |
        (keyword("show") > show_target[set_value]) |
        keyword("help")[set_empty<show_help>];

auto const end_of_statement =
    x3::rule<struct end_tag>{"the end of the statement"} =
        -x3::lit(';') >> x3::eoi;

constexpr std::string_view whitespace = " \t\r\n";

// The word at the position, in quotes, or "the end" at the end of the text.
std::string found_at(std::string_view text, std::size_t position)
{
    if (position >= text.size())
    {
        return "the end";
    }
    std::size_t const end = text.find_first_of(whitespace, position);
    return "'" + std::string(text.substr(position, end - position)) + "'";
}

error syntax_error(std::string_view text,
                   std::size_t position,
                   std::string_view expected)
{
    std::size_t const word = text.find_first_not_of(whitespace, position);
    std::size_t const at = word == std::string_view::npos ? text.size() : word;
    std::string message = "column " + std::to_string(at + 1) + ": expected " +
                          std::string(expected) + ", found " +
                          found_at(text, at);
    return error{errc::invalid_input,
                 message + "; 'help' lists the statements"};
}

} // namespace

result<statement> parse_statement(std::string_view text)
{
    if (text.size() > max_statement_bytes)
    {
        return fail(errc::too_large,
                    "the statement is longer than " +
                        std::to_string(max_statement_bytes) + " bytes");
    }
    statement parsed;
    char const* position = text.data();
    char const* const end = text.data() + text.size();
    try
    {
        bool const is_match =
            x3::phrase_parse(position,
                             end,
                             x3::eps > any_statement > end_of_statement,
                             x3::space,
                             parsed);
        if (!is_match)
        {
            auto const at = static_cast<std::size_t>(position - text.data());
            return syntax_error(text, at, "a statement");
        }
    }
    catch (x3::expectation_failure<char const*> const& failure)
    {
        auto const at = static_cast<std::size_t>(failure.where() - text.data());
        std::string const which = failure.which();
        return syntax_error(text, at, which);
    }
    if (auto* requested = std::get_if<change>(&parsed))
    {
        requested->text = text;
    }
    return parsed;
}

bool is_change(std::string_view text)
{
    constexpr std::array<std::string_view, 5> verbs = {
        "create", "alter", "remove", "drain", "undrain"};
    std::size_t const start = text.find_first_not_of(whitespace);
    if (start == std::string_view::npos)
    {
        return false;
    }
    std::size_t const stop = text.find_first_of(whitespace, start);
    std::string verb(text.substr(start, stop - start));
    std::transform(verb.begin(),
                   verb.end(),
                   verb.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return std::find(verbs.begin(), verbs.end(), verb) != verbs.end();
}

std::string_view language_summary()
{
    return "show work|admitted,shed,queued,retried,refused [by rank, service, "
           "upstream, zone, caller] [where COLUMN is VALUE and ...] [last "
           "SPAN]\n"
           "show members [where COLUMN is VALUE]\n"
           "show ranks | show rules | show changes | show configuration\n"
           "show timeline [last SPAN]\n"
           "why REQUEST-ID\n"
           "create rank NAME [urgency N] [worth N] [attempts N] [deadline "
           "SPAN] [protected]\n"
           "alter rank NAME [urgency N] [worth N] [attempts N] [deadline SPAN] "
           "[protected|unprotected]\n"
           "remove rank NAME\n"
           "create rule NAME [service S] [method M] [path PREFIX] rank RANK\n"
           "remove rule NAME\n"
           "drain HOST:PORT | undrain HOST:PORT\n"
           "every change may end with: if revision N, with id ID\n";
}

} // namespace plantaintally::query
