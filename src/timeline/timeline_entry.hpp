// One entry of a node's time line of events.
#pragma once

#include "base/moment.hpp"

#include <string>

namespace plantaintally
{

// An event at a node. Entries of different processes are ordered by their
// hybrid time.
struct timeline_entry
{
    hybrid_time at;
    // The request that the entry belongs to; empty for entries about the node
    // itself.
    std::string trace_id;
    // Module whose reducer recorded the entry: "admission", "once", ...
    std::string subject;
    // The kind of event in kebab case: "admitted", "refused",
    // "epoch-activated".
    std::string kind;
    // Further fields in the form "name=value name=value".
    std::string detail;

    bool operator==(timeline_entry const&) const = default;
};

} // namespace plantaintally
