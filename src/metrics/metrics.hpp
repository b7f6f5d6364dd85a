// Writes a node's metrics as Prometheus text.
#pragma once

#include "node/statistics.hpp"

#include <span>
#include <string>

namespace plantaintally::metrics
{

// Returns the samples in the Prometheus text format, grouped by name, each name
// with the prefix "plantaintally_". Samples with the same name must have the
// same kind.
std::string write_metrics(std::span<node::statistic const> samples);

} // namespace plantaintally::metrics
