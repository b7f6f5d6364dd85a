#include "settings/settings.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace plantaintally::settings
{

namespace
{

using address_bytes = std::array<unsigned char, sizeof(in6_addr)>;

bool is_ip(int family, std::string const& host)
{
    address_bytes address{};
    return inet_pton(family, host.c_str(), address.data()) == 1;
}

bool is_v6(endpoint const& address)
{
    return address.host.find(':') != std::string::npos;
}

address_bytes to_bytes(endpoint const& address)
{
    address_bytes bytes{};
    inet_pton(is_v6(address) ? AF_INET6 : AF_INET,
              address.host.c_str(),
              bytes.data());
    return bytes;
}

} // namespace

std::string to_string(endpoint const& address)
{
    auto const host = is_v6(address) ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

bool overlaps(endpoint const& left, endpoint const& right)
{
    if (left.port != right.port)
    {
        return false;
    }
    constexpr address_bytes unspecified{};
    auto const left_host = to_bytes(left);
    auto const right_host = to_bytes(right);
    return left_host == unspecified || right_host == unspecified ||
           (is_v6(left) == is_v6(right) && left_host == right_host);
}

result<endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return fail(errc::invalid_input, "port is missing");
    }
    auto host = text.substr(0, colon);
    auto const digits = text.substr(colon + 1);
    bool const is_bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    endpoint parsed{std::string(host), 0};
    if (!is_ip(is_bracketed ? AF_INET6 : AF_INET, parsed.host))
    {
        return fail(errc::invalid_input, "host is not an IP address");
    }
    auto const* const end = digits.data() + digits.size();
    auto const [stopped, problem] =
        std::from_chars(digits.data(), end, parsed.port);
    if (problem != std::errc() || stopped != end || parsed.port == 0)
    {
        return fail(errc::invalid_input,
                    "port is not a number from 1 to 65535");
    }
    return parsed;
}

} // namespace plantaintally::settings
