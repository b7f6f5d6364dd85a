// What a node lends to its queries for one step.
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

// Views of the node's state; valid for the step only.
struct local_view
{
    node_id self;
    std::string_view availability_zone;
    // Service of the upstream beside the node; empty before it is announced.
    std::string_view service;
    // "ready", "starting", "draining" or "no-upstream".
    std::string_view node_status;
    configuration::document const& configuration;
    // Time since the revision in force was last confirmed by the platform.
    duration configuration_age{};
    // Every live node known here, this one included.
    std::span<membership::member_record const> fleet;
    std::span<work_sample const> samples;
    timeline::journal const& journal;
};

} // namespace plantaintally::query
