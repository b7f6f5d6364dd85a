// Collects the figures of a measurement and prints them as JSON lines and as a
// table.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace plantaintally::measure
{

// A figure with its unit and the parameters of its measurement as "name=value
// ...".
struct figure
{
    std::string section;
    std::string name;
    std::string parameters;
    double value = 0;
    std::string unit;
};

// Collects figures; each is printed as a JSON line when it is added.
class report
{
public:
    void add(std::string_view section,
             std::string_view name,
             std::string_view parameters,
             double value,
             std::string_view unit);
    // Prints all figures as one table.
    void print_table() const;

private:
    std::vector<figure> figures;
};

} // namespace plantaintally::measure
