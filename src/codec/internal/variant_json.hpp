// JSON codec of variants.
#pragma once

#include "codec/internal/value_json.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace plantaintally::codec
{

// The kind of a variant's alternative: that of its type, or, if the alternative
// is itself a variant, that of the value it holds.
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

// A variant is encoded as the object of its alternative with a member "kind"
// added. Nested variants share one flat set of kinds.
template <class... Ts>
struct value_codec<std::variant<Ts...>>
{
    using variant_type = std::variant<Ts...>;

    static json write(variant_type const& value)
    {
        json target = std::visit([](auto const& alternative)
                                 { return write_value(alternative); },
                                 value);
        target["kind"] = kinds<variant_type>::name(value);
        return target;
    }

    static void read(json const& source, variant_type& target)
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
    read_as(json const& source, std::string_view kind, variant_type& target)
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
