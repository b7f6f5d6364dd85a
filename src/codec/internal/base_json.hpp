// How the structs of the messages are declared for JSON, and the ids and times
// that every subject uses.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"
#include "codec/internal/value_json.hpp"
#include "codec/internal/variant_json.hpp"

#include <array>
#include <string_view>

namespace plantaintally::codec
{

// A struct without fields: an empty object.
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

// Declares how a struct is written: PLANTAINTALLY_JSON(type, "kind", fields...)
// inside the namespace plantaintally::codec. Unknown members are ignored and
// missing ones keep their defaults.
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

// The same for a struct without fields.
#define PLANTAINTALLY_JSON_EMPTY(type, kind_name)                              \
    template <>                                                                \
    struct value_codec<type> : empty_codec<type>                               \
    {                                                                          \
        static constexpr std::string_view kind = kind_name;                    \
    };

// Declares the names of an enumeration's values, in order from zero on.
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
