// Measures what membership and configuration cost a node, and prints the
// slopes that docs/CAPACITY-SLOPES.md is worked out from.
#include "membership/measure/report.hpp"
#include "membership/measure/sections.hpp"

#include <gflags/gflags.h>

#include <string>

DEFINE_string(section,
              "all",
              "bytes, costs, detection, spread, configuration or all");
DEFINE_uint64(seed, 1, "seed of every random choice");

namespace
{

bool is_wanted(std::string const& section)
{
    return FLAGS_section == "all" || FLAGS_section == section;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace plantaintally::measure;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    report out;
    if (is_wanted("bytes"))
    {
        measure_bytes(out);
    }
    if (is_wanted("costs"))
    {
        measure_costs(out, FLAGS_seed);
    }
    if (is_wanted("detection"))
    {
        measure_detection(out, FLAGS_seed);
    }
    if (is_wanted("spread"))
    {
        measure_spread(out, FLAGS_seed);
    }
    if (is_wanted("configuration"))
    {
        measure_configuration(out, FLAGS_seed);
    }
    out.print_table();
    return 0;
}
