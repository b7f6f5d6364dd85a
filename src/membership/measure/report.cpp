#include "membership/measure/report.hpp"

#include <cstdio>

namespace plantaintally::measure
{

void report::add(std::string_view section,
                 std::string_view name,
                 std::string_view parameters,
                 double value,
                 std::string_view unit)
{
    figure const added{std::string(section),
                       std::string(name),
                       std::string(parameters),
                       value,
                       std::string(unit)};
    std::printf("{\"section\":\"%s\",\"name\":\"%s\",\"with\":\"%s\","
                "\"value\":%.6g,\"unit\":\"%s\"}\n",
                added.section.c_str(),
                added.name.c_str(),
                added.parameters.c_str(),
                added.value,
                added.unit.c_str());
    std::fflush(stdout);
    this->figures.push_back(added);
}

void report::print_table() const
{
    std::printf("\n%-14s %-34s %-34s %14s %s\n",
                "section",
                "figure",
                "with",
                "value",
                "unit");
    for (figure const& row : this->figures)
    {
        std::printf("%-14s %-34s %-34s %14.6g %s\n",
                    row.section.c_str(),
                    row.name.c_str(),
                    row.parameters.c_str(),
                    row.value,
                    row.unit.c_str());
    }
}

} // namespace plantaintally::measure
