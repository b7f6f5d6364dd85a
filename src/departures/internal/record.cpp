#include "departures/internal/record.hpp"

#include <algorithm>
#include <charconv>

namespace plantaintally::departures
{

namespace
{

// Parses a line "born_ms instance". Returns an empty vector if the line is
// malformed.
std::vector<upstream_incarnation> parse_line(std::string_view line)
{
    upstream_incarnation incarnation;
    auto const* const end = line.data() + line.size();
    auto const [parsed_end, ec] =
        std::from_chars(line.data(), end, incarnation.born_ms);
    if (ec != std::errc() || parsed_end == end || *parsed_end != ' ')
    {
        return {};
    }
    incarnation.instance = std::string(parsed_end + 1, end);
    return {incarnation};
}

} // namespace

std::string encode_record(std::span<upstream_incarnation const> departed)
{
    std::string text;
    for (upstream_incarnation const& incarnation : departed)
    {
        text += std::to_string(incarnation.born_ms) + " " +
                incarnation.instance + "\n";
    }
    return text;
}

std::vector<upstream_incarnation> decode_record(std::string_view text)
{
    std::vector<upstream_incarnation> departed;
    while (!text.empty())
    {
        auto const end = std::min(text.find('\n'), text.size());
        for (upstream_incarnation const& incarnation :
             parse_line(text.substr(0, end)))
        {
            add_departed(departed, incarnation);
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return departed;
}

void add_departed(std::vector<upstream_incarnation>& departed,
                  upstream_incarnation const& incarnation)
{
    auto const found = std::ranges::find(
        departed, incarnation.instance, &upstream_incarnation::instance);
    if (found != departed.end())
    {
        found->born_ms = std::max(found->born_ms, incarnation.born_ms);
        return;
    }
    departed.push_back(
        upstream_incarnation{incarnation.instance, incarnation.born_ms, 0});
    if (departed.size() > max_departed)
    {
        departed.erase(departed.begin());
    }
}

bool has_departed(std::span<upstream_incarnation const> departed,
                  upstream_incarnation const& incarnation)
{
    return std::ranges::any_of(departed,
                               [&](upstream_incarnation const& gone)
                               {
                                   return gone.instance ==
                                              incarnation.instance &&
                                          gone.born_ms >= incarnation.born_ms;
                               });
}

} // namespace plantaintally::departures
