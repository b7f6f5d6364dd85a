// JSON codecs of the common types. Unlike the library's own conversions, they
// check the type and range of every number, so that no value from a peer is
// silently converted to another one.
#pragma once

#include "base/ids.hpp"
#include "base/moment.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace plantaintally::codec
{

using json = nlohmann::json;

// Thrown if a JSON value does not have the expected type or range. It is caught
// where decoding started and never leaves the codec.
class decode_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The codec of one type: `write(value)` returns the JSON value,
// `read(source, target)` overwrites the target or throws decode_error.
template <class T>
struct value_codec;

// The names of an enumeration's values, in order, starting at value 0.
template <class T>
struct enum_names;

template <class T>
json write_value(T const& value)
{
    return value_codec<T>::write(value);
}

template <class T>
void read_value(json const& source, T& target)
{
    value_codec<T>::read(source, target);
}

// Reads a member of an object; if it is missing, the target is unchanged.
template <class T>
void read_field(json const& source, char const* name, T& target)
{
    auto const found = source.find(name);
    if (found == source.end())
    {
        return;
    }
    try
    {
        read_value(*found, target);
    }
    catch (decode_error const& cause)
    {
        throw decode_error(std::string(name) + ": " + cause.what());
    }
}

// Reads an element of an array; if it is missing, the target is unchanged.
template <class T>
void read_element(json const& source, std::size_t index, T& target)
{
    if (index < source.size())
    {
        read_value(source[index], target);
    }
}

inline void require_array(json const& source)
{
    if (!source.is_array())
    {
        throw decode_error("not an array");
    }
}

inline void require_object(json const& source)
{
    if (!source.is_object())
    {
        throw decode_error("not an object");
    }
}

template <std::integral T>
struct value_codec<T>
{
    static json write(T value)
    {
        return value;
    }

    static void read(json const& source, T& target)
    {
        if (source.is_number_unsigned())
        {
            assign(source.get<std::uint64_t>(), target);
            return;
        }
        if (source.is_number_integer())
        {
            assign(source.get<std::int64_t>(), target);
            return;
        }
        throw decode_error("not an integer");
    }

private:
    template <class Wide>
    static void assign(Wide wide, T& target)
    {
        if (!std::in_range<T>(wide))
        {
            throw decode_error("number out of range");
        }
        target = static_cast<T>(wide);
    }
};

template <>
struct value_codec<bool>
{
    static json write(bool value)
    {
        return value;
    }

    static void read(json const& source, bool& target)
    {
        if (!source.is_boolean())
        {
            throw decode_error("not a boolean");
        }
        target = source.get<bool>();
    }
};

template <>
struct value_codec<std::string>
{
    static json write(std::string const& value)
    {
        return value;
    }

    static void read(json const& source, std::string& target)
    {
        if (!source.is_string())
        {
            throw decode_error("not a string");
        }
        target = source.get_ref<std::string const&>();
    }
};

template <class T>
requires std::is_enum_v<T>
struct value_codec<T>
{
    static json write(T value)
    {
        return enum_names<T>::values.at(static_cast<std::size_t>(value));
    }

    static void read(json const& source, T& target)
    {
        std::string name;
        read_value(source, name);
        auto const& names = enum_names<T>::values;
        for (std::size_t index = 0; index < names.size(); ++index)
        {
            if (names[index] == name)
            {
                target = static_cast<T>(index);
                return;
            }
        }
        throw decode_error("unknown value '" + name.substr(0, 40) + "'");
    }
};

// A duration is encoded as the count of its unit; messages use microseconds.
template <class Rep, class Period>
struct value_codec<std::chrono::duration<Rep, Period>>
{
    using duration_type = std::chrono::duration<Rep, Period>;

    static json write(duration_type value)
    {
        return value.count();
    }

    static void read(json const& source, duration_type& target)
    {
        Rep count = 0;
        read_value(source, count);
        target = duration_type(count);
    }
};

template <class Clock, class Duration>
struct value_codec<std::chrono::time_point<Clock, Duration>>
{
    using time_point_type = std::chrono::time_point<Clock, Duration>;

    static json write(time_point_type value)
    {
        return write_value(value.time_since_epoch());
    }

    static void read(json const& source, time_point_type& target)
    {
        Duration since_epoch{};
        read_value(source, since_epoch);
        target = time_point_type(since_epoch);
    }
};

template <class Tag>
struct value_codec<numeric_id<Tag>>
{
    static json write(numeric_id<Tag> id)
    {
        return id.value;
    }

    static void read(json const& source, numeric_id<Tag>& target)
    {
        read_value(source, target.value);
    }
};

template <class T>
struct value_codec<std::optional<T>>
{
    static json write(std::optional<T> const& value)
    {
        return value ? write_value(*value) : json();
    }

    static void read(json const& source, std::optional<T>& target)
    {
        if (source.is_null())
        {
            target.reset();
            return;
        }
        read_value(source, target.emplace());
    }
};

template <class T>
struct value_codec<std::vector<T>>
{
    static json write(std::vector<T> const& values)
    {
        json target = json::array();
        for (T const& value : values)
        {
            target.push_back(write_value(value));
        }
        return target;
    }

    static void read(json const& source, std::vector<T>& target)
    {
        if (!source.is_array())
        {
            throw decode_error("not an array");
        }
        target.clear();
        target.reserve(source.size());
        for (json const& element : source)
        {
            read_value(element, target.emplace_back());
        }
    }
};

} // namespace plantaintally::codec
