// The state of a node that queries read.
#pragma once

#include "base/ids.hpp"
#include "configuration/document.hpp"
#include "membership/messages.hpp"
#include "query/work_sample.hpp"
#include "timeline/journal.hpp"

#include <span>
#include <string_view>

namespace plantaintally::query
{

// A read-only view of the node's state, valid only during the current step.
struct local_view
{
    node_id self;
    std::string_view availability_zone;
    // Service of the upstream beside the node; empty until the upstream has
    // announced itself.
    std::string_view service;
    // "ready", "starting", "draining" or "no-upstream".
    std::string_view node_status;
    configuration::document const& configuration;
    // Time since the platform last confirmed the revision in force.
    duration configuration_age{};
    // All live nodes known to this node, including itself.
    std::span<membership::member_record const> fleet;
    std::span<work_sample const> samples;
    timeline::journal const& journal;
};

} // namespace plantaintally::query
