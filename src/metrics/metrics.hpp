// The figures of a node as Prometheus text.
#pragma once

#include "node/statistics.hpp"

#include <span>
#include <string>

namespace plantaintally::metrics
{

// Every figure in the Prometheus text format, grouped by name, each name with
// the prefix "plantaintally_". Figures of one name share one kind.
std::string write_metrics(std::span<node::statistic const> samples);

} // namespace plantaintally::metrics
