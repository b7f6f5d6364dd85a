#include "departures/internal/record.hpp"

#include <algorithm>
#include <charconv>

namespace plantaintally::departures
{

namespace
{

// The life of a line "birth name".
std::vector<upstream_incarnation> read_line(std::string_view line)
{
    upstream_incarnation life;
    auto const* const end = line.data() + line.size();
    auto const [stopped, problem] =
        std::from_chars(line.data(), end, life.born_ms);
    if (problem != std::errc() || stopped == end || *stopped != ' ')
    {
        return {};
    }
    life.instance = std::string(stopped + 1, end);
    return {life};
}

} // namespace

std::string write_record(std::span<upstream_incarnation const> left)
{
    std::string text;
    for (upstream_incarnation const& life : left)
    {
        text += std::to_string(life.born_ms) + " " + life.instance + "\n";
    }
    return text;
}

std::vector<upstream_incarnation> read_record(std::string_view text)
{
    std::vector<upstream_incarnation> left;
    while (!text.empty())
    {
        auto const end = std::min(text.find('\n'), text.size());
        for (upstream_incarnation const& life : read_line(text.substr(0, end)))
        {
            remember(left, life);
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return left;
}

void remember(std::vector<upstream_incarnation>& left,
              upstream_incarnation const& life)
{
    auto const found =
        std::ranges::find(left, life.instance, &upstream_incarnation::instance);
    if (found != left.end())
    {
        found->born_ms = std::max(found->born_ms, life.born_ms);
        return;
    }
    left.push_back(upstream_incarnation{life.instance, life.born_ms, 0});
    if (left.size() > max_remembered)
    {
        left.erase(left.begin());
    }
}

bool has_left(std::span<upstream_incarnation const> left,
              upstream_incarnation const& life)
{
    return std::ranges::any_of(left,
                               [&](upstream_incarnation const& gone) {
                                   return gone.instance == life.instance &&
                                          gone.born_ms >= life.born_ms;
                               });
}

} // namespace plantaintally::departures
