// Macros that define the JSON codecs of structs and enumerations, and the
// codecs of the ids and times that all messages use.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "codec/internal/value_json.hpp"
#include "codec/internal/variant_json.hpp"

#include <array>
#include <string_view>

namespace plantaintally::codec
{

// Encodes a struct without fields as an empty object.
template <class T>
struct empty_codec
{
    static json write(T const&)
    {
        return json::object();
    }

    static void read(json const& source, T&)
    {
        require_object(source);
    }
};

} // namespace plantaintally::codec

#define PLANTAINTALLY_WRITE_FIELD(name)                                        \
    target[#name] = ::plantaintally::codec::write_value(source.name);
#define PLANTAINTALLY_READ_FIELD(name)                                         \
    ::plantaintally::codec::read_field(source, #name, target.name);

// Defines the codec of a struct: PLANTAINTALLY_JSON(type, "kind", fields...),
// in the namespace plantaintally::codec. The kind identifies the type in a
// variant. Each field is a JSON member of the same name. When a struct is read,
// unknown members are ignored and fields without a member keep their values.
#define PLANTAINTALLY_JSON(type, kind_name, ...)                               \
    template <>                                                                \
    struct value_codec<type>                                                   \
    {                                                                          \
        static constexpr std::string_view kind = kind_name;                    \
                                                                               \
        static json write(type const& source)                                  \
        {                                                                      \
            json target = json::object();                                      \
            NLOHMANN_JSON_EXPAND(                                              \
                NLOHMANN_JSON_PASTE(PLANTAINTALLY_WRITE_FIELD, __VA_ARGS__))   \
            return target;                                                     \
        }                                                                      \
                                                                               \
        static void read(json const& source, type& target)                     \
        {                                                                      \
            require_object(source);                                            \
            NLOHMANN_JSON_EXPAND(                                              \
                NLOHMANN_JSON_PASTE(PLANTAINTALLY_READ_FIELD, __VA_ARGS__))    \
        }                                                                      \
    };

// Defines the codec of a struct without fields.
#define PLANTAINTALLY_JSON_EMPTY(type, kind_name)                              \
    template <>                                                                \
    struct value_codec<type> : empty_codec<type>                               \
    {                                                                          \
        static constexpr std::string_view kind = kind_name;                    \
    };

// Defines the names of an enumeration's values, in order, starting at value 0.
#define PLANTAINTALLY_ENUM(type, ...)                                          \
    template <>                                                                \
    struct enum_names<type>                                                    \
    {                                                                          \
        static constexpr auto values =                                         \
            std::to_array<std::string_view>({__VA_ARGS__});                    \
    };

namespace plantaintally::codec
{

PLANTAINTALLY_JSON(node_id, "node_id", address, incarnation)
PLANTAINTALLY_JSON(hybrid_time, "hybrid_time", wall_us, counter)
PLANTAINTALLY_JSON(moment, "moment", monotonic, wall)

} // namespace plantaintally::codec
