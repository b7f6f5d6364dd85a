// Names of parsers for syntax errors. Spirit X3 itself names only rules and
// literals; the specialisations below name the other parsers after their
// operands.
#pragma once

#include <boost/spirit/home/x3.hpp>

#include <string>

namespace boost::spirit::x3
{

template <typename Subject, typename Action>
struct get_info<action<Subject, Action>>
{
    using result_type = std::string;
    std::string operator()(action<Subject, Action> const& parser) const
    {
        return what(parser.subject);
    }
};

template <typename Id, typename Right, typename Attribute, bool Force>
struct get_info<rule_definition<Id, Right, Attribute, Force>>
{
    using result_type = std::string;
    std::string
    operator()(rule_definition<Id, Right, Attribute, Force> const& parser) const
    {
        return parser.name;
    }
};

template <typename Left, typename Right>
struct get_info<alternative<Left, Right>>
{
    using result_type = std::string;
    std::string operator()(alternative<Left, Right> const& parser) const
    {
        return what(parser.left) + " or " + what(parser.right);
    }
};

template <typename Left, typename Right>
struct get_info<sequence<Left, Right>>
{
    using result_type = std::string;
    std::string operator()(sequence<Left, Right> const& parser) const
    {
        return what(parser.left);
    }
};

template <typename Left, typename Right>
struct get_info<list<Left, Right>>
{
    using result_type = std::string;
    std::string operator()(list<Left, Right> const& parser) const
    {
        return what(parser.left);
    }
};

template <typename Subject>
struct get_info<plus<Subject>>
{
    using result_type = std::string;
    std::string operator()(plus<Subject> const& parser) const
    {
        return what(parser.subject);
    }
};

template <typename Subject>
struct get_info<lexeme_directive<Subject>>
{
    using result_type = std::string;
    std::string operator()(lexeme_directive<Subject> const& parser) const
    {
        return what(parser.subject);
    }
};

template <typename Subject>
struct get_info<no_case_directive<Subject>>
{
    using result_type = std::string;
    std::string operator()(no_case_directive<Subject> const& parser) const
    {
        return what(parser.subject);
    }
};

} // namespace boost::spirit::x3
