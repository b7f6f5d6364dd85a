#include "codec/hop_headers.hpp"

#include "codec/bounded_json.hpp"
#include "codec/internal/decode.hpp"
#include "codec/internal/request_json.hpp"

#include <algorithm>

namespace plantaintally::codec
{

namespace
{

// Boolean fields of hop_context, one bit each.
constexpr std::uint32_t to_key_home_bit = 1;
constexpr std::uint32_t delegated_bit = 2;
constexpr std::uint32_t probe_bit = 4;
constexpr std::uint32_t repeat_bit = 8;
// Boolean fields of hop_report, one bit each.
constexpr std::uint32_t reached_upstream_bit = 1;
constexpr std::uint32_t draining_bit = 2;
constexpr std::uint32_t repeat_granted_bit = 4;
constexpr std::uint32_t lacks_capacity_bit = 8;

char to_ascii_lower(char letter)
{
    bool const is_upper = letter >= 'A' && letter <= 'Z';
    return is_upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::uint32_t bit_if(bool condition, std::uint32_t bit)
{
    return condition ? bit : 0;
}

// The JSON value of the header with this name; an empty array if there is no
// such header.
result<json> read_header(std::span<header_field const> headers,
                         std::string_view name)
{
    for (header_field const& header : headers)
    {
        if (header.name.size() != name.size() ||
            !has_prefix_ignoring_case(header.name, name))
        {
            continue;
        }
        auto parsed = parse_json(header.value);
        if (!parsed)
        {
            return fail(errc::invalid_input,
                        "header " + std::string(name) + ": " +
                            parsed.error().message);
        }
        return parsed;
    }
    return json::array();
}

header_field to_header(std::string_view name, json const& fields)
{
    constexpr int one_line = -1;
    constexpr bool ensure_ascii = true;
    return {std::string(name),
            fields.dump(
                one_line, ' ', ensure_ascii, json::error_handler_t::replace)};
}

void read_fields(json const& source, hop_context& hop)
{
    require_array(source);
    std::uint32_t bits = 0;
    read_element(source, 0, hop.service);
    read_element(source, 1, hop.rank);
    read_element(source, 2, hop.urgency);
    read_element(source, 3, hop.retries_left);
    read_element(source, 4, hop.depth);
    read_element(source, 5, bits);
    read_element(source, 6, hop.sent_at.wall_us);
    read_element(source, 7, hop.sent_at.counter);
    hop.to_key_home = (bits & to_key_home_bit) != 0;
    hop.is_delegated = (bits & delegated_bit) != 0;
    hop.is_probe = (bits & probe_bit) != 0;
    hop.is_repeat = (bits & repeat_bit) != 0;
    if (source.size() > 8)
    {
        route_terms terms;
        read_element(source, 8, terms.is_repeatable);
        read_element(source, 9, terms.aim_left);
        hop.route = terms;
    }
}

void read_fields(json const& source, hop_report& report)
{
    require_array(source);
    std::uint32_t bits = 0;
    read_element(source, 0, report.outcome);
    read_element(source, 1, report.reason);
    read_element(source, 2, bits);
    read_element(source, 3, report.attempts);
    read_element(source, 4, report.retries_left);
    read_element(source, 5, report.admission_level);
    read_element(source, 6, report.load_permille);
    read_element(source, 7, report.retry_after);
    read_element(source, 8, report.sent_at.wall_us);
    read_element(source, 9, report.sent_at.counter);
    read_element(source, 10, report.key_home);
    report.has_reached_upstream = (bits & reached_upstream_bit) != 0;
    report.is_draining = (bits & draining_bit) != 0;
    report.is_repeat_granted = (bits & repeat_granted_bit) != 0;
    report.lacks_capacity = (bits & lacks_capacity_bit) != 0;
}

template <class T>
result<T> decode(std::span<header_field const> headers, std::string_view name)
{
    auto const source = read_header(headers, name);
    if (!source)
    {
        return source.error();
    }
    try
    {
        T fields;
        read_fields(source.value(), fields);
        return fields;
    }
    catch (decode_error const& cause)
    {
        return fail(errc::invalid_input,
                    "header " + std::string(name) + ": " + cause.what());
    }
}

} // namespace

bool has_prefix_ignoring_case(std::string_view name, std::string_view prefix)
{
    return name.size() >= prefix.size() &&
           std::equal(prefix.begin(),
                      prefix.end(),
                      name.begin(),
                      [](char left, char right) {
                          return to_ascii_lower(left) == to_ascii_lower(right);
                      });
}

header_field encode_hop_context(hop_context const& hop)
{
    std::uint32_t const bits = bit_if(hop.to_key_home, to_key_home_bit) |
                               bit_if(hop.is_delegated, delegated_bit) |
                               bit_if(hop.is_probe, probe_bit) |
                               bit_if(hop.is_repeat, repeat_bit);
    json fields = json::array({hop.service,
                               hop.rank,
                               hop.urgency,
                               hop.retries_left,
                               hop.depth,
                               bits,
                               hop.sent_at.wall_us,
                               hop.sent_at.counter});
    if (hop.route)
    {
        fields.push_back(hop.route->is_repeatable);
        fields.push_back(hop.route->aim_left.count());
    }
    return to_header(hop_header, fields);
}

header_field encode_hop_report(hop_report const& report)
{
    std::uint32_t const bits =
        bit_if(report.has_reached_upstream, reached_upstream_bit) |
        bit_if(report.is_draining, draining_bit) |
        bit_if(report.is_repeat_granted, repeat_granted_bit) |
        bit_if(report.lacks_capacity, lacks_capacity_bit);
    json fields = json::array({write_value(report.outcome),
                               write_value(report.reason),
                               bits,
                               report.attempts,
                               report.retries_left,
                               report.admission_level,
                               report.load_permille,
                               report.retry_after.count(),
                               report.sent_at.wall_us,
                               report.sent_at.counter});
    if (!report.key_home.empty())
    {
        fields.push_back(report.key_home);
    }
    return to_header(report_header, fields);
}

result<hop_context> decode_hop_context(std::span<header_field const> headers)
{
    return decode<hop_context>(headers, hop_header);
}

result<hop_report> decode_hop_report(std::span<header_field const> headers)
{
    return decode<hop_report>(headers, report_header);
}

} // namespace plantaintally::codec
