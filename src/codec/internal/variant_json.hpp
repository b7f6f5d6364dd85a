// How variants are written as JSON and read back: with the alternative's kind.
#pragma once

#include "codec/internal/value_json.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace plantaintally::codec
{

// The name of a variant's alternative: of the type itself, or of the value if
// the alternative is a variant again.
template <class T>
struct kinds
{
    static std::string_view name(T const&)
    {
        return value_codec<T>::kind;
    }

    static bool contains(std::string_view kind)
    {
        return kind == value_codec<T>::kind;
    }
};

template <class... Ts>
struct kinds<std::variant<Ts...>>
{
    static std::string_view name(std::variant<Ts...> const& value)
    {
        return std::visit([]<class T>(T const& alternative)
                          { return kinds<T>::name(alternative); },
                          value);
    }

    static bool contains(std::string_view kind)
    {
        return (kinds<Ts>::contains(kind) || ...);
    }
};

// A variant is the object of its alternative with a member "kind" added.
// Variants of variants share one flat set of kinds.
template <class... Ts>
struct value_codec<std::variant<Ts...>>
{
    using whole = std::variant<Ts...>;

    static json write(whole const& value)
    {
        json target = std::visit([](auto const& alternative)
                                 { return write_value(alternative); },
                                 value);
        target["kind"] = kinds<whole>::name(value);
        return target;
    }

    static void read(json const& source, whole& target)
    {
        require_object(source);
        std::string kind;
        read_field(source, "kind", kind);
        bool const is_known = (read_as<Ts>(source, kind, target) || ...);
        if (!is_known)
        {
            throw decode_error("unknown kind '" + kind.substr(0, 40) + "'");
        }
    }

private:
    template <class T>
    static bool
    read_as(json const& source, std::string_view kind, whole& target)
    {
        if (!kinds<T>::contains(kind))
        {
            return false;
        }
        read_value(source, target.template emplace<T>());
        return true;
    }
};

} // namespace plantaintally::codec
