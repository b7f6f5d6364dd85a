#include "codec/hop_headers.hpp"

#include "codec/bounded_json.hpp"
#include "codec/internal/decode.hpp"
#include "codec/internal/request_json.hpp"

#include <algorithm>

namespace plantaintally::codec
{

namespace
{

char lower(char letter)
{
    bool const is_upper = letter >= 'A' && letter <= 'Z';
    return is_upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

// "retries_left" becomes "Retries-Left".
std::string header_name(std::string_view prefix, std::string_view member)
{
    std::string name(prefix);
    bool begins_word = true;
    for (char const letter : member)
    {
        bool const is_letter = letter >= 'a' && letter <= 'z';
        char const upper =
            is_letter ? static_cast<char>(letter - 'a' + 'A') : letter;
        name += letter == '_' ? '-' : (begins_word ? upper : letter);
        begins_word = letter == '_';
    }
    return name;
}

// "Retries-Left" becomes "retries_left".
std::string member_name(std::string_view header)
{
    std::string name(header);
    std::transform(name.begin(),
                   name.end(),
                   name.begin(),
                   [](char letter)
                   { return letter == '-' ? '_' : lower(letter); });
    return name;
}

template <class T>
std::vector<header_field> encode(std::string_view prefix, T const& fields)
{
    constexpr int one_line = -1;
    constexpr bool only_ascii = true;
    std::vector<header_field> headers;
    json const object = write_value(fields);
    for (auto const& [name, value] : object.items())
    {
        headers.push_back(
            {header_name(prefix, name),
             value.dump(
                 one_line, ' ', only_ascii, json::error_handler_t::replace)});
    }
    return headers;
}

template <class T>
result<T> decode(std::string_view prefix, std::span<header_field const> headers)
{
    json fields = json::object();
    for (auto const& header : headers)
    {
        if (!has_prefix(header.name, prefix))
        {
            continue;
        }
        auto parsed = parse_json(header.value);
        if (!parsed)
        {
            return fail(errc::invalid_input,
                        "header " + header.name + ": " +
                            parsed.error().message);
        }
        auto const member = std::string_view(header.name).substr(prefix.size());
        fields[member_name(member)] = std::move(parsed.value());
    }
    return decode_value<T>(std::move(fields), "headers " + std::string(prefix));
}

} // namespace

bool has_prefix(std::string_view name, std::string_view prefix)
{
    return name.size() >= prefix.size() &&
           std::equal(prefix.begin(),
                      prefix.end(),
                      name.begin(),
                      [](char left, char right)
                      { return lower(left) == lower(right); });
}

std::vector<header_field> encode_hop_context(hop_context const& hop)
{
    return encode(hop_prefix, hop);
}

std::vector<header_field> encode_hop_report(hop_report const& report)
{
    return encode(report_prefix, report);
}

result<hop_context> decode_hop_context(std::span<header_field const> headers)
{
    return decode<hop_context>(hop_prefix, headers);
}

result<hop_report> decode_hop_report(std::span<header_field const> headers)
{
    return decode<hop_report>(report_prefix, headers);
}

} // namespace plantaintally::codec
