// One entry of a node's time line of events.
#pragma once

#include "base/moment.hpp"

#include <string>

namespace plantaintally
{

// What happened at a node, ordered over processes by its hybrid time.
struct timeline_entry
{
    hybrid_time at;
    // Request the entry belongs to; empty for entries about the node itself.
    std::string trace_id;
    // Folder of the reducer that decided: "admission", "once", ...
    std::string subject;
    // What happened, in kebab case: "admitted", "refused", "epoch-activated".
    std::string kind;
    // Further fields as "name=value name=value".
    std::string detail;

    bool operator==(timeline_entry const&) const = default;
};

} // namespace plantaintally
