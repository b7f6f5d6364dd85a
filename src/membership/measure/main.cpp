// Measures the costs of membership and configuration at a node.
// docs/CAPACITY-SLOPES.md derives its slopes from the printed figures.
#include "membership/measure/report.hpp"
#include "membership/measure/sections.hpp"

#include <gflags/gflags.h>

#include <string>

DEFINE_string(
    section,
    "all",
    "bytes, contacts, costs, detection, spread, configuration or all");
DEFINE_uint64(seed, 1, "seed of every random choice");

namespace
{

bool is_selected(std::string const& section)
{
    return FLAGS_section == "all" || FLAGS_section == section;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace plantaintally::measure;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    report out;
    if (is_selected("bytes"))
    {
        measure_bytes(out);
    }
    if (is_selected("contacts"))
    {
        measure_contacts(out, FLAGS_seed);
    }
    if (is_selected("costs"))
    {
        measure_costs(out, FLAGS_seed);
    }
    if (is_selected("detection"))
    {
        measure_detection(out, FLAGS_seed);
    }
    if (is_selected("spread"))
    {
        measure_spread(out, FLAGS_seed);
    }
    if (is_selected("configuration"))
    {
        measure_configuration(out, FLAGS_seed);
    }
    out.print_table();
    return 0;
}
